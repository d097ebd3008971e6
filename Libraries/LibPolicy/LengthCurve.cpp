#include <LibPolicy/LengthCurve.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

constexpr double bucketsPerDoubling = 4;
/** Keeps divisions defined for work that has outlived everything that was ever seen. */
constexpr double smallestReach = 1e-12;

double positionOf(double tokens)
{
    auto position = bucketsPerDoubling * std::log2(tokens + 1);
    return std::clamp(position, 0.0, static_cast<double>(LengthCurve::bucketCount));
}

}

LengthCurve::LengthCurve(const Hazards &hazards)
{
    this->reach[0] = 1;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        this->reach[bucket + 1] = this->reach[bucket] * (1 - std::clamp(hazards[bucket], 0.0, 1.0));
    }
}

std::size_t LengthCurve::bucketOf(double tokens)
{
    return std::min(static_cast<std::size_t>(positionOf(tokens)), bucketCount - 1);
}

double LengthCurve::bucketStart(std::size_t bucket)
{
    return std::exp2(static_cast<double>(bucket) / bucketsPerDoubling) - 1;
}

double LengthCurve::survival(double tokens) const
{
    auto position = positionOf(tokens);
    auto bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    auto within = position - static_cast<double>(bucket);
    return this->reach[bucket] + (this->reach[bucket + 1] - this->reach[bucket]) * within;
}

double LengthCurve::conditionalSurvival(double produced, double further) const
{
    auto reached = std::max(this->survival(produced), smallestReach);
    return std::min(1.0, this->survival(produced + further) / reached);
}

double LengthCurve::expectedRemaining(double produced) const
{
    auto reached = std::max(this->survival(produced), smallestReach);
    double area = 0;
    auto from = produced;
    auto fromReach = reached;
    for (auto bucket = bucketOf(produced) + 1; bucket <= bucketCount; ++bucket) {
        auto to = std::max(from, bucketStart(bucket));
        area += (to - from) * (fromReach + this->reach[bucket]) / 2;
        from = to;
        fromReach = this->reach[bucket];
    }
    return area / reached;
}

double LengthCurve::quantile(double produced, double probability) const
{
    auto wanted = this->survival(produced) * (1 - probability);
    for (auto bucket = bucketOf(produced); bucket < bucketCount; ++bucket) {
        if (this->reach[bucket + 1] > wanted) {
            continue;
        }
        auto drop = std::max(this->reach[bucket] - this->reach[bucket + 1], smallestReach);
        auto within = std::clamp((this->reach[bucket] - wanted) / drop, 0.0, 1.0);
        auto length = std::exp2((static_cast<double>(bucket) + within) / bucketsPerDoubling) - 1;
        return std::max(length, produced);
    }
    return std::max(bucketStart(bucketCount), produced);
}

}
