#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>

namespace Lovageward {

/**
 * Estimates how much older the reports of a pool are than their time of measurement states. Changes in the reported memory
 * match the changes caused by this node's own requests best when the two are compared at the true lag.
 */
class ReportLagEstimator
{
public:
    /** Number of candidate lags, from zero in steps of `lagStep`. */
    static constexpr std::size_t candidateCount = 7;
    static constexpr Duration lagStep = seconds(1);
    /** Memory of own requests at each candidate lag, in blocks. */
    using OwnBlocks = std::array<double, candidateCount>;

    /** Adds the changes in blocks between two reports of an upstream: of all requests, and of own requests at each candidate lag. */
    void observe(double usedChange, const OwnBlocks &ownChanges);

    /** Lag that fits the reports best; zero until it fits significantly better than no lag. */
    Duration lag() const;

private:
    /** Exponentially decaying sums of the squared changes that own requests don't explain. */
    std::array<double, candidateCount> squaredResiduals {};
    /** Exponentially decaying number of observations. */
    double observations = 0;
};

}
