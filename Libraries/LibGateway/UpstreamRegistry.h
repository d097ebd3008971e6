#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibGateway/UpstreamRecord.h>
#include <LibGateway/UpstreamShutdownNotice.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lovageward {

/** Why runs should be migrated away from an upstream. */
enum class EvacuationReason {
    None,
    /** The upstream is draining, has announced its shutdown or is no longer registered. */
    Draining,
    /** Another process has registered with the upstream's id, so the KV cache of its runs is lost. */
    Restarted,
    /** A roll-out replaces the upstream's version by another one. */
    Replaced,
};

/** Identifies the upstreams of one pool in one failure domain. */
struct DomainPool
{
    FailureDomainId domain;
    PoolId pool;
};

/**
 * The registered upstreams. An upstream is usable, that is, may get new work, if it is not draining and its failure domain is not drained. An entry
 * that disappeared during an outage of the store stays usable for a grace period, because such entries often return when the store is available
 * again. A process that has announced its shutdown in a response gets no new work even if the store lists it as usable: entries are updated late, and
 * a shutdown is never cancelled. Load patterns: upstreams that are reclaimed, and an outage of the platform's store, and a store restored from an
 * older copy. Thread-safe; its mutex is a leaf
 * lock.
 */
class UpstreamRegistry
{
public:
    explicit UpstreamRegistry(const Clock &clock) : clock(clock)
    {
    }

    /**
     * Adds or replaces an entry unless it is outdated. Returns true if the upstream is new or its process, address, draining state or pending removal has
     * changed.
     */
    bool put(const UpstreamRecord &record);

    /**
     * True if the process is known to have written a later entry, or to be draining, removed or replaced in an era before the record's: after a
     * restoration the store returns entries that were replaced, so such a process becomes usable only with a higher sequence than the last one known, or
     * with an entry that it writes again.
     */
    bool isOutdated(const UpstreamRecord &record) const;

    /** Removes an entry that was deleted by its owner or has expired; `era` is that of the record which shows it. */
    void remove(const UpstreamId &upstream, StoreEra era = StoreEra());

    /** Removes an entry that disappeared around an outage: it stays usable until `until`, and a put() before then cancels the removal. */
    void scheduleRemoval(const UpstreamId &upstream, TimePoint until, StoreEra era = StoreEra());

    /** Records that the process has announced its shutdown in a response. Returns true if that is new. Applies until another process registers with the id. */
    bool recordShutdownNotice(const UpstreamShutdownNotice &notice);

    /** Shutdown notices received within the last few seconds, newest first, for forwarding to peers. */
    std::vector<UpstreamShutdownNotice> recentShutdownNotices(std::size_t maximumCount) const;

    void setDrained(const FailureDomainId &domain, bool isDrained);
    std::set<FailureDomainId> drainedDomains() const;

    /** The usable upstreams of the pool. */
    std::vector<UpstreamRecord> usableUpstreams(const PoolId &pool) const;

    /** Number of usable upstreams of the pool in the domain. */
    std::size_t countUsable(const PoolId &pool, const FailureDomainId &domain) const;

    /**
     * Usable upstreams of the pool that satisfy `isEligible`: up to `maximumNear` from the domain `near` and up to `maximumFar` from all other domains,
     * sampled at random if there are more.
     */
    std::vector<UpstreamRecord> sampleUsable(const PoolId &pool,
                                             const FailureDomainId &near,
                                             std::size_t maximumNear,
                                             std::size_t maximumFar,
                                             RandomSource &random,
                                             const std::function<bool(const UpstreamRecord &)> &isEligible) const;

    /** Pool and domain of the upstream with this LoadTracker::hashUpstreamId; nullopt if it isn't registered. */
    std::optional<DomainPool> findDomainPool(std::uint64_t upstreamHash) const;

    /** Whether runs at the process `boot` of the upstream should be migrated away, and why. */
    EvacuationReason evacuationReason(const UpstreamId &upstream, const BootId &boot) const;

    /** Whether the upstream may get new work now. */
    bool isUsable(const UpstreamId &upstream) const;

    std::size_t size() const;

    /** Number of upstreams of one version of a pool. */
    struct VersionCount
    {
        std::size_t registered = 0;
        std::size_t usable = 0;
    };

    /** The versions of all registered upstreams by pool. */
    std::map<PoolId, std::map<UpstreamVersion, VersionCount>> versionCounts() const;

    /** LoadTracker::hashUpstreamId of the registered upstreams of the pool with another version than `version`. */
    std::set<std::uint64_t> upstreamsOfOtherVersions(const PoolId &pool, const UpstreamVersion &version) const;

    /** Runs at upstreams of the pool with another version should be migrated away from now on; nullopt ends that. */
    void setReplacement(const PoolId &pool, const std::optional<UpstreamVersion> &version);

private:
    struct Entry
    {
        UpstreamRecord record;
        /** Time at which a pending removal takes effect. */
        std::optional<TimePoint> removeAt;
        /** Era of the last record of the upstream, including those that were outdated. */
        StoreEra era;
    };

    /** The last entry of a process that was removed or replaced by another one. */
    struct PastProcess
    {
        std::uint64_t sequence = 0;
        StoreEra era;
        TimePoint endedAt;
    };

    struct ReceivedNotice
    {
        BootId boot;
        TimePoint receivedAt;
    };

    bool acceptsWork(const Entry &entry) const;
    bool isShuttingDown(const UpstreamRecord &record) const;
    bool isOutdatedEntry(const UpstreamRecord &record) const;
    /** Raises the era of the process of an outdated record: what it writes in this era is newer than the copy. */
    void raiseEra(const UpstreamRecord &record);
    void recordEnd(const Entry &entry, StoreEra era);
    void index(const UpstreamRecord &record);
    void unindex(const UpstreamRecord &record);

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<UpstreamId, Entry> entries;
    /** Upstreams of each pool by failure domain, so that a request doesn't iterate over all upstreams of a large fleet. */
    std::map<PoolId, std::map<FailureDomainId, std::set<UpstreamId>>> upstreamsByPool;
    std::unordered_map<std::uint64_t, DomainPool> domainPools;
    std::set<FailureDomainId> drainedFailureDomains;
    std::map<PoolId, UpstreamVersion> replacements;
    /** Stored separately from the entries, because an entry may be removed and added again while its process lives. */
    std::map<UpstreamId, ReceivedNotice> shutdownNotices;
    std::map<std::pair<UpstreamId, BootId>, PastProcess> pastProcesses;
};

}
