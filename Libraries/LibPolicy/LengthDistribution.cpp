#include <LibPolicy/LengthDistribution.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

constexpr double bucketsPerDoubling = 4;
/** Lower bound of divisors. Avoids division by zero for outputs that are longer than every observed one. */
constexpr double minimumSurvival = 1e-12;

double bucketPosition(double tokens)
{
    auto position = bucketsPerDoubling * std::log2(tokens + 1);
    return std::clamp(position, 0.0, static_cast<double>(LengthDistribution::bucketCount));
}

}

LengthDistribution::LengthDistribution(const Hazards &hazards)
{
    this->survivalAtStart[0] = 1;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        this->survivalAtStart[bucket + 1] = this->survivalAtStart[bucket] * (1 - std::clamp(hazards[bucket], 0.0, 1.0));
    }
}

std::size_t LengthDistribution::bucketOf(double tokens)
{
    return std::min(static_cast<std::size_t>(bucketPosition(tokens)), bucketCount - 1);
}

double LengthDistribution::bucketStart(std::size_t bucket)
{
    return std::exp2(static_cast<double>(bucket) / bucketsPerDoubling) - 1;
}

double LengthDistribution::survival(double tokens) const
{
    auto position = bucketPosition(tokens);
    auto bucket = std::min(static_cast<std::size_t>(position), bucketCount - 1);
    auto within = position - static_cast<double>(bucket);
    return this->survivalAtStart[bucket] + (this->survivalAtStart[bucket + 1] - this->survivalAtStart[bucket]) * within;
}

double LengthDistribution::conditionalSurvival(double produced, double additional) const
{
    auto currentSurvival = std::max(this->survival(produced), minimumSurvival);
    return std::min(1.0, this->survival(produced + additional) / currentSurvival);
}

double LengthDistribution::expectedRemaining(double produced) const
{
    auto currentSurvival = std::max(this->survival(produced), minimumSurvival);
    double area = 0;
    auto from = produced;
    auto fromSurvival = currentSurvival;
    for (auto bucket = bucketOf(produced) + 1; bucket <= bucketCount; ++bucket) {
        auto to = std::max(from, bucketStart(bucket));
        area += (to - from) * (fromSurvival + this->survivalAtStart[bucket]) / 2;
        from = to;
        fromSurvival = this->survivalAtStart[bucket];
    }
    return area / currentSurvival;
}

double LengthDistribution::quantile(double produced, double probability) const
{
    auto targetSurvival = this->survival(produced) * (1 - probability);
    for (auto bucket = bucketOf(produced); bucket < bucketCount; ++bucket) {
        if (this->survivalAtStart[bucket + 1] > targetSurvival) {
            continue;
        }
        auto drop = std::max(this->survivalAtStart[bucket] - this->survivalAtStart[bucket + 1], minimumSurvival);
        auto within = std::clamp((this->survivalAtStart[bucket] - targetSurvival) / drop, 0.0, 1.0);
        auto length = std::exp2((static_cast<double>(bucket) + within) / bucketsPerDoubling) - 1;
        return std::max(length, produced);
    }
    return std::max(bucketStart(bucketCount), produced);
}

}
