#pragma once

#include <LibCore/Ids.h>
#include <LibGateway/GatewayConfig.h>

#include <map>
#include <mutex>
#include <optional>

namespace Lovageward {

/**
 * Predicts the output length of a run from the caller's estimate and the lengths of earlier outputs on the same route. Callers' estimates have the right
 * median but are often far off, so each is weighted by the error of earlier ones. Lengths and errors are modelled as log-normal, and their parameters
 * are learned for each route. Load pattern: generations of unknown length. Thread-safe; its mutex is a leaf lock.
 */
class OutputLengthPredictor
{
public:
    /** Mean of the output length in tokens, at most `maximum` unless that is zero. */
    double predict(const RouteId &route, const std::optional<TokenCount> &estimate, TokenCount maximum) const;

    /** Adds the output length, in tokens, of a run that has completed. */
    void recordOutput(const RouteId &route, const std::optional<TokenCount> &estimate, double length);

private:
    /** Exponentially weighted mean and variance of logarithms. */
    struct LogMoments
    {
        double weight = 0;
        double mean = 0;
        double meanSquaredDeviation = 0;

        void add(double value);
        /** Variance combined with a prior variance, which counts as a fixed number of observations. */
        double variance(double priorVariance) const;
    };

    struct RouteStatistics
    {
        LogMoments lengths;
        /** Logarithms of the length divided by the estimate. */
        LogMoments errors;
    };

    mutable std::mutex mutex;
    std::map<RouteId, RouteStatistics> routes;
};

}
