#pragma once

#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Lovageward {

/**
 * Circuit breaker of one upstream. Closed: all requests pass. Open: no request passes until the next probe time; the pause doubles
 * with each failed probe. Half-open: one request at a time passes as a probe, and two successful probes close the breaker.
 * Not thread-safe: its owner serialises the calls.
 */
class CircuitBreaker
{
public:
    /** True if a request may be sent now. */
    bool allowsRequest(TimePoint now) const;

    /** Records that a request is sent. Returns true if it is a probe; pass this as `isProbe` when recording the end of the request. */
    bool recordStart();

    /** Allows the next probe once the current one has produced its first token, because a long generation ends much later. */
    void recordProbeResponse();

    /** Records a successful request. A request sent before the breaker opened doesn't count towards closing it. */
    void recordSuccess(TimePoint now, bool isProbe);

    /** Records a failed request. Returns true if this opened a closed breaker. */
    bool recordFailure(TimePoint now, bool isProbe, RandomSource &random);

    /** Records the end of a request that is evidence neither of success nor of failure, such as one cancelled by its caller. */
    void recordAbandonment(bool isProbe);

    /** True if the breaker is closed and has no failure in its window, so that its state can be discarded. */
    bool isIdle(TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t period = -1;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
    };

    Bucket &bucketAt(TimePoint now);
    Bucket sumRecentBuckets(TimePoint now) const;
    void open(TimePoint now, RandomSource &random);

    std::array<Bucket, bucketCount> buckets;
    bool isClosed = true;
    TimePoint nextProbeAt;
    unsigned consecutiveOpenings = 0;
    bool isProbeRunning = false;
    unsigned successfulProbes = 0;
};

}
