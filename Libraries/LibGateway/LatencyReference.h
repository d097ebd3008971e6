#pragma once

#include <LibCore/Time.h>

#include <array>
#include <optional>

namespace Lovageward {

/** Median of the latencies of the last seconds, from logarithmic buckets whose weights decay. Not thread-safe. */
class LatencyReference
{
public:
    void record(Duration latency, TimePoint now);

    /** Returns nullopt until enough recent latencies are known. */
    std::optional<Duration> median(TimePoint now);

private:
    /** Four buckets for each doubling, from 0.1 ms to over an hour. */
    static constexpr std::size_t bucketCount = 100;

    void decay(TimePoint now);

    std::array<double, bucketCount> weights {};
    double totalWeight = 0;
    TimePoint decayedAt;
};

}
