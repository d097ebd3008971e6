#pragma once

#include <policy/Deployment.h>

#include <array>
#include <cstdint>

namespace Lovageward::Bench {

/** Histogram of times on a logarithmic scale from 1 ms to over an hour. Quantiles are accurate to 2 %. */
class GapHistogram
{
public:
    void add(Micros time, std::uint64_t count = 1);

    /** Adds all counts of another histogram. */
    void add(const GapHistogram &other);

    /** Time in seconds below which the given share of the times lies. */
    double quantile(double share) const;

private:
    static constexpr std::size_t bucketsPerDoubling = 32;
    static constexpr std::size_t bucketCount = 23 * bucketsPerDoubling;

    std::array<std::uint64_t, bucketCount> counts {};
    std::uint64_t total = 0;
};

}
