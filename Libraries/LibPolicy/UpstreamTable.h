#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibPolicy/UpstreamSampleRequest.h>
#include <LibPolicy/UpstreamState.h>
#include <LibPolicy/UpstreamSummary.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/**
 * Upstreams known to this node and their last load reports. Thread-safe; the mutex is never held during I/O.
 * An upstream is treated as cold if its last report is missing or too old, or if a connection failed after it.
 */
class UpstreamTable
{
public:
    /** Reports older than `maximumReportAge` are ignored. */
    UpstreamTable(const Clock &clock, Duration maximumReportAge);

    /** Adds or updates an upstream from the host list. The last report of a known upstream is kept. */
    void setUpstream(const UpstreamState &state);

    /** Removes an upstream that is no longer in the host list. */
    void removeUpstream(const UpstreamId &id);

    /** Stores a load report unless it is older than the stored one. Unknown upstreams are ignored. */
    void applyReport(const UpstreamId &id, const LoadReport &report);

    /** Treats an upstream as cold after a failed connection, until a report that was measured later arrives. */
    void markSuspect(const UpstreamId &id);

    /** Replaces the set of drained failure domains, whose upstreams receive no new requests. */
    void setDrainedDomains(const std::set<FailureDomainId> &failureDomains);

    /** State of an upstream with its effective phase: leaving if drained or marked in the host list, else cold if the report isn't usable. */
    std::optional<UpstreamState> find(const UpstreamId &id) const;

    /** Effective states of all upstreams of a pool, sorted by id. */
    std::vector<UpstreamState> upstreamsOf(const PoolId &pool) const;

    /** Effective states of all upstreams, sorted by id. */
    std::vector<UpstreamState> allUpstreams() const;

    /** Version that increases with each update of the table, so that readers can cache derived data. */
    std::uint64_t version() const;

    /**
     * Appends distinct matching upstreams to `summaries`: all of them up to the limit of the request, otherwise a random sample.
     * The cost depends on the limit and not on the size of the pool. Returns the number of matching upstreams.
     */
    std::size_t sample(const UpstreamSampleRequest &request, RandomSource &random, std::vector<UpstreamSummary> &summaries) const;

    /** Slot of an upstream, as in UpstreamSummary. Empty if the upstream isn't known. */
    std::optional<std::uint32_t> slotOf(const UpstreamId &id) const;

    /** Id of the upstream in the slot. Empty if the upstream was removed. */
    std::optional<UpstreamId> idOf(std::uint32_t slot) const;

private:
    struct Entry
    {
        UpstreamState state;
        std::uint32_t slot = 0;
        std::uint64_t idHash = 0;
        bool hasReport = false;
        bool isSuspect = false;
        bool isDrained = false;
    };

    /** Upstreams of a pool in one region, sorted by id. */
    using Group = std::vector<const Entry *>;
    using RegionGroups = std::map<RegionId, Group>;

    UpstreamPhase effectivePhase(const Entry &entry, TimePoint now) const;
    UpstreamState effectiveState(const Entry &entry, TimePoint now) const;
    UpstreamSummary summarize(const Entry &entry, TimePoint now) const;
    void addToGroup(const Entry &entry);
    void removeFromGroup(const Entry &entry);
    static std::size_t groupSize(const RegionGroups &groups, const UpstreamSampleRequest &request);
    static const Entry &groupMember(const RegionGroups &groups, const UpstreamSampleRequest &request, std::size_t position);

    const Clock &clock;
    Duration maximumReportAge;
    mutable std::mutex mutex;
    std::map<UpstreamId, Entry> entries;
    std::unordered_map<PoolId, RegionGroups> groupsByPool;
    std::unordered_map<std::uint32_t, const Entry *> entryBySlot;
    std::set<FailureDomainId> drainedDomains;
    std::uint32_t nextSlot = 1;
    std::uint64_t changeCount = 0;
};

}
