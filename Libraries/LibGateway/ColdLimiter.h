#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <map>
#include <mutex>

namespace Lovageward {

/**
 * Bounds the requests that this node sends to a cold upstream, so that the sum over all nodes stays below what the upstream withstands. Answers
 * the load pattern of capacity that returns cold during full traffic. Thread-safe; its mutex is a leaf lock.
 */
class ColdLimiter
{
public:
    explicit ColdLimiter(const Clock &clock) : clock(clock)
    {
    }

    /** Takes a request out of the node's share. `nodes` counts this node and all that may send to the upstream. */
    bool tryTake(const UpstreamId &upstream, double requestsPerSecond, std::size_t nodes);

private:
    const Clock &clock;
    mutable std::mutex mutex;
    /** Earliest time of the next request by upstream. */
    std::map<UpstreamId, TimePoint> nextAt;
};

}
