#include <LibGateway/OutputLengthPredictor.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

/** Assumed length of an output relative to its maximum, before any output was recorded. */
constexpr double assumedLengthRatio = 0.4;

/** Prior variances of the logarithms: lengths vary by a factor of two, estimates are off by a factor of 2.7. */
constexpr double lengthPriorVariance = 0.5;
constexpr double errorPriorVariance = 1;

/** Number of observations that a prior counts as. */
constexpr double priorWeight = 5;

/** Maximum weight of earlier observations, so that the statistics follow a change of the traffic within minutes. */
constexpr double maximumWeight = 200;

}

void OutputLengthPredictor::LogMoments::add(double value)
{
    this->weight = std::min(this->weight + 1, maximumWeight);
    auto difference = value - this->mean;
    this->mean += difference / this->weight;
    this->meanSquaredDeviation += (difference * (value - this->mean) - this->meanSquaredDeviation) / this->weight;
}

double OutputLengthPredictor::LogMoments::variance(double priorVariance) const
{
    return (this->meanSquaredDeviation * this->weight + priorVariance * priorWeight) / (this->weight + priorWeight);
}

double OutputLengthPredictor::predict(const RouteId &route, const std::optional<TokenCount> &estimate, TokenCount maximum) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->routes.find(route);
    RouteStatistics statistics = found == this->routes.end() ? RouteStatistics() : found->second;
    auto limit = static_cast<double>(maximum.value());
    auto assumedLogLength = std::log(std::max(1.0, limit * assumedLengthRatio));
    auto typicalLogLength = (statistics.lengths.mean * statistics.lengths.weight + assumedLogLength * priorWeight) / (statistics.lengths.weight + priorWeight);
    auto logVariance = statistics.lengths.variance(lengthPriorVariance);
    auto logMean = typicalLogLength;
    if (estimate && estimate->value() > 0) {
        auto errorVariance = statistics.errors.variance(errorPriorVariance);
        auto estimateWeight = logVariance / (logVariance + errorVariance);
        logMean = estimateWeight * std::log(static_cast<double>(estimate->value())) + (1 - estimateWeight) * typicalLogLength;
        logVariance = logVariance * errorVariance / (logVariance + errorVariance);
    }
    // The mean of a log-normal length is above its median.
    auto mean = std::exp(logMean + logVariance / 2);
    return limit > 0 ? std::min(mean, limit) : mean;
}

void OutputLengthPredictor::recordOutput(const RouteId &route, const std::optional<TokenCount> &estimate, double length)
{
    if (length < 1) {
        return;
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &statistics = this->routes[route];
    statistics.lengths.add(std::log(length));
    if (estimate && estimate->value() > 0) {
        statistics.errors.add(std::log(length / static_cast<double>(estimate->value())));
    }
}

}
