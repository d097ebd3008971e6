#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/UpstreamRateLimitReport.h>
#include <LibGateway/UpstreamRecord.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Lovageward {

/**
 * Tracks the rate limits that upstreams state in their responses: the requests per second that a process accepts from all nodes together. A limit
 * applies until the process sends a response without one. Peers report new, changed and ended limits, because a node with a small part of a limit rarely
 * receives a response that shows its end. Load pattern: an upstream in trouble that stays registered and sheds a part of its load. Thread-safe; its
 * mutex is a leaf lock.
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

    /** Records what a peer reports, unless this node knows of a newer response. Returns true if the limit has changed and has to be forwarded. */
    bool recordPeerReport(const UpstreamRateLimitReport &report);

    /** The limits that were new, changed or ended within the last few seconds, newest first, for peers. */
    std::vector<UpstreamRateLimitReport> recentChanges(std::size_t maximumCount) const;

    /** The limit of the process in requests per second; nullopt if it has none. */
    std::optional<double> limit(const UpstreamRecord &upstream) const;

private:
    struct Statement
    {
        /** The process that made the statement. It doesn't apply to a later process with the same id. */
        BootId boot;
        /** Nullopt after the end of a limit. */
        std::optional<double> requestsPerSecond;
        /** Time of the newest response that this node knows of. */
        TimePoint statedAt;
        /** Time at which this node learned of the present limit or of its end. */
        TimePoint changedAt;
    };

    /** Returns true if the limit differs from the one known before. */
    bool replace(const UpstreamId &upstream, const BootId &boot, std::optional<double> requestsPerSecond, TimePoint statedAt);
    void removeExpired();

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<UpstreamId, Statement> statements;
};

}
