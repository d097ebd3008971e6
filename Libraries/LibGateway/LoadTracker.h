#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibGateway/KnownRunHistory.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lovageward {

/** Identifies a run, or a standby copy of its KV cache, at one upstream. */
using RunId = NumberId<struct RunIdTag>;

/** How a run uses the KV cache of an upstream. */
enum class RunKind {
    /** A run whose prompt has to be prefilled. */
    Fresh,
    /** A run that continues from a KV cache that was copied from another engine. */
    Resumed,
    /** A copy of the KV cache of a run that executes at another engine. */
    StandbyCopy,
};

/** KV cache that a run needs at its engine, in tokens. Zero for requests to plain services. */
struct Footprint
{
    double promptTokens = 0;
    double expectedOutputTokens = 0;
    double maximumOutputTokens = 0;

    /** KV cache in tokens at the expected end of a run that has produced `produced` output tokens so far. */
    double peakTokens(double produced) const;
};

/** Load of one upstream. */
struct UpstreamLoad
{
    std::uint32_t runs = 0;
    /** KV cache in tokens if every run is at its expected end. */
    double peakTokens = 0;
    /** Prompt tokens of the runs without output so far. An engine prefills prompts one after another. */
    double pendingPrefillTokens = 0;
    /** Runs that generate output at the upstream; standby copies are not counted. */
    std::uint32_t decodingRuns = 0;

    UpstreamLoad &operator+=(const UpstreamLoad &other);
    /** Subtracts a load that was added before. */
    UpstreamLoad &operator-=(const UpstreamLoad &other);
};

/** Load of one node at one upstream, as nodes report it to each other. A load without runs states that the node has no work there any more. */
struct UpstreamLoadReport
{
    /** LoadTracker::hashUpstreamId of the upstream, equal on all nodes. */
    std::uint64_t upstreamHash = 0;
    UpstreamLoad load;
    /** Time per output token, see TokenTimeTracker; zero if the node has no estimate. */
    Duration tokenTime = Duration(0);
};

/** Load of several nodes at all upstreams of one pool in one failure domain. */
struct DomainPoolLoad
{
    FailureDomainId domain;
    PoolId pool;
    UpstreamLoad load;
};

/**
 * Tracks the load of this node and its peers at each upstream. The load of peers that report to this node directly is known for each upstream, that
 * of all other nodes only as a sum for each pool and failure domain. Load pattern: many nodes place runs on engines whose KV cache is nearly full.
 * Thread-safe; its mutex is a leaf lock.
 */
class LoadTracker
{
public:
    explicit LoadTracker(const Clock &clock) : clock(clock)
    {
    }

    RunId addRun(const UpstreamId &upstream, const Footprint &footprint, RunKind kind);
    /** Updates the number of output tokens of a run. The first call also marks its prompt as prefilled. */
    void recordProgress(RunId run, double producedTokens);
    void removeRun(RunId run);

    /** Load of this node and of the peers that report to it directly. */
    UpstreamLoad load(const UpstreamId &upstream);

    /** Load of the nodes that don't report to this node directly, as far as it is known for this upstream. */
    UpstreamLoad remoteLoad(const UpstreamId &upstream) const;

    /** Summed load of the nodes that don't report to this node directly, without the loads that are known for each upstream; zero after their expiry. */
    UpstreamLoad aggregateLoad(const FailureDomainId &domain, const PoolId &pool) const;

    /** Number of runs, without standby copies, that this node and the peers that report to it directly had at the upstream, as known at that time. */
    std::int64_t knownRunsAt(std::uint64_t upstreamHash, TimePoint time) const;

    /** Load of this node alone, without upstreams at which it has no work. */
    std::vector<UpstreamLoadReport> localReports() const;

    /** Takes up to `maximumCount` of this node's loads that have changed since they were last taken; the others remain for the next call. */
    std::vector<UpstreamLoadReport> takeChangedReports(std::size_t maximumCount);

    /** Load of this node and of the peers that report to it directly, summed for each upstream. */
    std::vector<UpstreamLoadReport> combinedReports();

    /** Replaces all earlier reports of the peer. The reports expire at `validUntil`. */
    void replacePeerReports(const HostId &peer, const std::vector<UpstreamLoadReport> &reports, TimePoint validUntil);

    /** Replaces the peer's reports on these upstreams only. All reports of the peer now expire at `validUntil`. */
    void updatePeerReports(const HostId &peer, const std::vector<UpstreamLoadReport> &changes, TimePoint validUntil);

    /**
     * Replaces the loads of the nodes that don't report to this node directly: sums of areas, and loads of single upstreams that the sums don't include.
     * They expire at `validUntil`.
     */
    void replaceAggregateLoads(const std::vector<DomainPoolLoad> &areas, const std::vector<UpstreamLoadReport> &upstreams, TimePoint validUntil);

    static std::uint64_t hashUpstreamId(const UpstreamId &upstream);

private:
    struct Run
    {
        UpstreamId upstream;
        Footprint footprint;
        RunKind kind = RunKind::Fresh;
        double producedTokens = 0;
        bool isPrefilled = false;
    };

    using Loads = std::unordered_map<std::uint64_t, UpstreamLoad>;

    struct Peer
    {
        TimePoint validUntil;
        Loads loads;
    };

    void replaceReport(Peer &peer, const UpstreamLoadReport &report);
    void removeReports(Peer &peer);
    /** Sets the time at which the peer's reports expire and removes the peers whose reports have expired. */
    Peer &renewPeer(const HostId &peer, TimePoint validUntil);
    void removeExpiredPeers();

    const Clock &clock;
    mutable std::mutex mutex;
    std::uint64_t lastRunId = 0;
    std::map<RunId, Run> runs;
    std::map<UpstreamId, UpstreamLoad> localLoads;
    std::set<UpstreamId> changedUpstreams;
    std::map<HostId, Peer> peers;
    /** The reports of no peer expire before this time. */
    TimePoint nextPeerExpiry = TimePoint::max();
    /** Sums over all peers by upstream hash, so that a placement needs one lookup. */
    Loads combinedPeerLoads;
    KnownRunHistory knownRuns;
    std::map<std::pair<FailureDomainId, PoolId>, UpstreamLoad> aggregateLoads;
    /** Loads of single upstreams that nodes of other groups have there. */
    Loads remoteLoads;
    TimePoint aggregateLoadsValidUntil;
};

/** Adds a run to the load of an upstream and removes it on destruction. */
class LoadReservation
{
public:
    LoadReservation(LoadTracker &tracker, const UpstreamId &upstream, const Footprint &footprint, RunKind kind)
        : tracker(tracker), run(tracker.addRun(upstream, footprint, kind))
    {
    }

    LoadReservation(const LoadReservation &) = delete;
    LoadReservation &operator=(const LoadReservation &) = delete;

    ~LoadReservation()
    {
        this->tracker.removeRun(this->run);
    }

    void recordProgress(double producedTokens)
    {
        this->tracker.recordProgress(this->run, producedTokens);
    }

private:
    LoadTracker &tracker;
    RunId run;
};

}
