#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/UpstreamRecord.h>

#include <map>
#include <mutex>
#include <optional>

namespace Lovageward {

/**
 * Tracks the rate limits that upstreams state in their responses: the requests per second that a process accepts from all nodes together. A limit
 * applies until the process sends a response without one. Load pattern: an upstream in trouble that stays registered and sheds a part of its load.
 * Thread-safe; its mutex is a leaf lock.
 */
class StatedRateLimits
{
public:
    explicit StatedRateLimits(const Clock &clock) : clock(clock)
    {
    }

    /** Records the limit in a response of the process. Returns true if the process had no limit or another one. */
    bool recordLimit(const UpstreamRecord &upstream, double requestsPerSecond);

    /**
     * Records a response of the process without a limit to a request sent at `sentAt`. Returns true if that ends the limit. A request sent before the
     * limit was last stated doesn't end it, because its response may be older than the limit.
     */
    bool recordUnlimited(const UpstreamRecord &upstream, TimePoint sentAt);

    /** The limit of the process in requests per second; nullopt if it has none. */
    std::optional<double> limit(const UpstreamRecord &upstream) const;

private:
    struct StatedLimit
    {
        /** The process that stated the limit. It doesn't apply to a later process with the same id. */
        BootId boot;
        double requestsPerSecond = 0;
        /** Time of the last response with the limit. */
        TimePoint statedAt;
    };

    void removeExpired();

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<UpstreamId, StatedLimit> limits;
};

}
