#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <cstddef>

namespace Lovageward {

/** The digests that a node has to send to its group now. */
struct DueDigests
{
    /** The complete load of this node. */
    bool isFullStateDue = false;
    /** The age of its records, and notices. Only relays and readers send it regularly (see PeerTable). */
    bool isFreshnessDue = false;
    /** Only the load that changed since the last digest of load. */
    bool isLoadChangeDue = false;
};

/**
 * Decides when this node sends digests of its state to its peers. Load changes are sent promptly, but the larger the group, the more changes are combined
 * into one digest: a single change matters less among more engines, and each node receives the digests of the whole group. Answers the load pattern of many
 * placements per second at many nodes. The mark functions are safe from any thread; one thread calls the others.
 */
class DigestScheduler
{
public:
    /** The load of this node has changed. */
    void markLoadChanged();

    /** This node now has all records of a topic. A full state is due at once, so that peers can request the records from it. */
    void markRecordsComplete();

    /** This node has newer records, or a more recent confirmation that its records are current. */
    void markFreshnessChanged();

    /** This node has evidence about an upstream or a request that its peers need without delay, also if it is neither a relay nor a reader. */
    void markNotice();

    /** Returns the digests that are due to a group of `peers` nodes, and schedules the following ones as if they were sent. */
    DueDigests takeDue(TimePoint now, std::size_t peers, bool isRelayOrReader);

    /** Time at which takeDue() has to be called next, unless a change is marked before. */
    TimePoint nextDueAt(bool isRelayOrReader) const;

private:
    std::atomic<bool> hasLoadChange = false;
    std::atomic<bool> hasFreshnessChange = false;
    std::atomic<bool> hasNewlyCompleteRecords = false;
    std::atomic<bool> hasNotice = false;
    /** Earliest time of the next digest of load changes. */
    TimePoint loadChangeAllowedAt;
    /** Earliest time at which a marked freshness change is sent. */
    TimePoint freshnessChangeAllowedAt;
    TimePoint fullStateDueAt;
    TimePoint freshnessDueAt;
};

}
