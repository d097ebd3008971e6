#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <map>
#include <mutex>

namespace Lovageward {

/**
 * Estimates the recent failure rate of each upstream from this node's own requests. The rate is one part of the placement cost, so a wrong estimate never
 * excludes all upstreams of a pool. Load pattern: upstreams that fail some requests although their health check passes. Thread-safe; its mutex is a
 * leaf lock.
 */
class UpstreamHealth
{
public:
    explicit UpstreamHealth(const Clock &clock) : clock(clock)
    {
    }

    void recordSuccess(const UpstreamId &upstream);

    /** `weight` is 1 for an error response and higher for a lost or refused connection. */
    void recordFailure(const UpstreamId &upstream, double weight);

    /** 0 for an upstream without recent failures, close to 1 for one that always fails. */
    double failureRate(const UpstreamId &upstream) const;

private:
    struct Score
    {
        double failures = 0;
        double total = 0;
        TimePoint updatedAt;
    };

    Score decayed(const Score &score) const;

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<UpstreamId, Score> scores;
};

}
