#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/StoreOutage.h>

#include <mutex>
#include <optional>

namespace Lovageward {

/**
 * Decides whether the store was unavailable to all nodes, after which upstreams may be missing from it only because they couldn't renew their
 * registrations. A read that failed is evidence of an outage, and so is the report of a peer. The silence of peers is none: the nodes that read the
 * store for this one may have been lost while the store was available, and an upstream that is then missing has left. Load patterns: an outage of the
 * platform's store, and nodes that are killed, paused or cut off. Thread-safe; its mutex is a leaf lock.
 */
class StoreOutageTracker
{
public:
    explicit StoreOutageTracker(const Clock &clock) : clock(clock)
    {
    }

    /** The store answered this node or a peer at `answeredAt`. Returns the outage that this answer ends; nullopt if there is no evidence of one. */
    std::optional<StoreOutage> recordAnswer(TimePoint answeredAt);

    /**
     * A read of this node that began at `startedAt` has failed. It is evidence of an outage only if no peer was answered for as long as reports of peers
     * are trusted; otherwise the store refuses only this node. Returns true if it is the first evidence of an outage.
     */
    bool recordFailedRead(TimePoint startedAt);

    /** Returns true if the outage that a peer reports is new to this node and no answer to this node or another peer contradicts it. */
    bool recordPeerReport(const StoreOutageReport &report);

    /** The last outage while upstreams may still be missing from the store because of it, for reports to peers. */
    std::optional<StoreOutageReport> recentOutage() const;

    /** True while a failed read is evidence of an outage that hasn't ended. */
    bool isOutageOngoing() const;

    /** Time until which upstreams may be missing from the store because of an outage; in the past if there was none. */
    TimePoint removalGraceUntil() const;

private:
    /** True if this node knows of no answer within the outage. */
    bool isWithinSilence(const StoreOutage &outage) const;
    TimePoint graceUntil() const;

    const Clock &clock;
    mutable std::mutex mutex;
    /** Time of the last answer of the store to this node or to a peer. */
    std::optional<TimePoint> lastAnswerAt;
    /** Start of a read that failed while no node was answered. */
    std::optional<TimePoint> failedReadStartedAt;
    /** The longest recent period without an answer, whether or not a read failed in it. */
    std::optional<StoreOutage> lastSilence;
    std::optional<StoreOutage> lastOutage;
};

}
