#include <LibGateway/LatencyReference.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

constexpr double bucketsPerDoubling = 4;
constexpr double shortestMicroseconds = 100;

/** Time in which a latency loses half of its weight. Short enough to follow a burst of load, long enough for routes with few requests. */
constexpr Duration halfLife = seconds(5);

/** Weights are decayed in steps of this length. */
constexpr Duration decayStep = milliseconds(250);

/** Weight from which the median is used. */
constexpr double minimumWeight = 8;

}

void LatencyReference::decay(TimePoint now)
{
    if (now < this->decayedAt + decayStep) {
        return;
    }
    auto factor = std::exp2(-std::chrono::duration<double>(now - this->decayedAt) / std::chrono::duration<double>(halfLife));
    for (auto &weight : this->weights) {
        weight *= factor;
    }
    this->totalWeight *= factor;
    this->decayedAt = now;
}

void LatencyReference::record(Duration latency, TimePoint now)
{
    this->decay(now);
    auto doublings = std::log2(std::max(static_cast<double>(latency.count()), shortestMicroseconds) / shortestMicroseconds);
    auto bucket = std::min(static_cast<std::size_t>(doublings * bucketsPerDoubling), bucketCount - 1);
    this->weights[bucket] += 1;
    this->totalWeight += 1;
}

std::optional<Duration> LatencyReference::median(TimePoint now)
{
    this->decay(now);
    if (this->totalWeight < minimumWeight) {
        return std::nullopt;
    }
    double weight = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount && weight + this->weights[bucket] < this->totalWeight / 2) {
        weight += this->weights[bucket];
        ++bucket;
    }
    auto middle = (static_cast<double>(bucket) + 0.5) / bucketsPerDoubling;
    return Duration(static_cast<Duration::rep>(shortestMicroseconds * std::exp2(middle)));
}

}
