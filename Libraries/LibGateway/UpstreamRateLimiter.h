#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>

#include <map>
#include <mutex>

namespace Lovageward {

/**
 * Limits the rate of requests from this node to an upstream, so that all nodes together stay below the rate that the upstream accepts. Each node gets
 * an equal share of the rate as slots, each for one request. Slots start at a random offset, also after the rate has changed, so that the nodes don't
 * send in step, and unused ones lapse. Load patterns: capacity that comes back cold, and an upstream that states a rate limit, under full traffic from
 * hundreds of nodes. Thread-safe; its mutex is a leaf lock.
 */
class UpstreamRateLimiter
{
public:
    UpstreamRateLimiter(const Clock &clock, RandomSource &random) : clock(clock), random(random)
    {
    }

    /**
     * Takes a request out of the node's share. Returns true if the node's share of `requestsPerSecond` allows a request to the upstream now. `nodeCount`
     * is the number of nodes that may send to the upstream, this node included.
     */
    bool tryAcquire(const UpstreamId &upstream, double requestsPerSecond, std::size_t nodeCount);

    /** Start of this node's next slot for a request to the upstream. Valid after tryAcquire() for it. */
    TimePoint nextSlotAt(const UpstreamId &upstream) const;

private:
    /** The next request that this node may send to an upstream. */
    struct Slot
    {
        TimePoint startsAt;
        /** Rate of the upstream for which the slot was assigned. */
        double requestsPerSecond = 0;
    };

    const Clock &clock;
    RandomSource &random;
    mutable std::mutex mutex;
    std::map<UpstreamId, Slot> slots;
};

}
