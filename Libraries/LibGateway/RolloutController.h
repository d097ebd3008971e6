#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/RolloutEvidence.h>
#include <LibGateway/RolloutExchange.h>
#include <LibGateway/RolloutExposure.h>
#include <LibGateway/RolloutGate.h>
#include <LibGateway/RolloutVerdict.h>
#include <LibGateway/StatusBoard.h>
#include <LibGateway/UpstreamPicker.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibMembership/PeriodicTask.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Lovageward {

/** Reports whether all records of the topics that a roll-out depends on were read. */
class RecordSync
{
public:
    virtual ~RecordSync() = default;

    virtual bool hasUpstreams() const = 0;
    virtual bool hasOrders() const = 0;
    virtual bool hasReports() const = 0;
};

/** The objects that a RolloutController uses; they outlive it. */
struct RolloutDependencies
{
    const Clock &clock;
    EventLog &events;
    Counters &counters;
    UpstreamRegistry &registry;
    LoadTracker &loads;
    const FleetView &fleet;
    const RecordSync &sync;
    StatusBoard &board;
};

/**
 * Rolls versions out: exposes a small share of a pool's requests to the target version, judges it by the evidence of all nodes, and promotes it or rolls
 * it back. There is no leader: each node decides by the evidence that it has, phases are sent to the peers at once, and nodes that learn of different
 * phases keep the later one, so a decision is never revoked. The first final report in the store decides between nodes that were cut off from each other.
 * A node sends nothing to the target version before it has read the orders and the reports, and unless it has a recent report of the roll-out from a peer (in a
 * large fleet also from the other failure domains) within the last seconds. Load patterns: versions that fail or are slow from the start, later, under
 * load or on one route; nodes that are killed, paused or cut off at any step; a store that is unavailable. Thread-safe; step() is called by one thread
 * and calls the store without holding the mutex. Lock order: its mutex, then the leaf locks of the registry and the load tracker.
 */
class RolloutController final : public RolloutRecordListener, public RolloutGate, public RolloutExchange, public RolloutRecorder, public PeriodicTask
{
public:
    /** `process` is random. */
    RolloutController(const RolloutDependencies &dependencies, const RolloutLimits &limits, HostId host, NodeLocation location, std::uint64_t process);

    void applyOrder(const RolloutOrder &order) override;
    void applyStatus(const RolloutStatus &status) override;

    VersionRule beginPlacement(const PoolId &pool, const RouteId &route, bool isFirstAttempt) override;
    void cancelExposure(const PoolId &pool) override;
    VersionFilter copyFilter(const PoolId &pool, const UpstreamRecord &runner) const override;
    bool mayContinueOn(const UpstreamRecord &upstream) const override;
    std::unique_ptr<RolloutObservation> observe(const RouteId &route, const UpstreamRecord &upstream, bool isFirstAttempt) override;

    void recordStart(const ObservedRun &run, Duration latency) override;
    void recordPace(const ObservedRun &run, Duration interval) override;
    void recordFailure(const ObservedRun &run, bool isConnectionLost) override;
    void recordAbandoned(const ObservedRun &run, Duration waited) override;

    DueRolloutReports takeDueReports(std::size_t groupPeers, bool isRelay) override;
    TimePoint nextReportAt() const override;
    void receiveReport(const HostId &host, const FailureDomainId &domain, const RolloutReport &report) override;

    TimePoint step() override;

    /** To be called once, before requests are placed. */
    void setListener(RolloutListener *newListener)
    {
        this->listener = newListener;
    }

    /** Phase of the pool's newest roll-out; nullopt if there is none. */
    std::optional<RolloutPhase> phase(const PoolId &pool) const;

private:
    /** Time without a message about the roll-out after which a node sends nothing to the target version. Less than the time in which a rollback has to work. */
    static constexpr Duration contactLifetime = seconds(3);

    struct Rollout
    {
        Rollout(RolloutEvidence evidence, RolloutExposure exposure) : evidence(std::move(evidence)), exposure(exposure)
        {
        }

        RolloutOrderId order;
        /** Era of the store in which the order was last read. */
        StoreEra era;
        PoolId pool;
        UpstreamVersion target;
        /** False until this node has read the order itself. */
        bool isOrderKnown = false;
        TimePoint startedAt;
        /** Valid once the order is known. */
        TimePoint endsAt;
        RolloutPhase phase = RolloutPhase::Exposing;
        std::string reason;
        std::uint32_t stage = 0;
        TimePoint stageBeganAt;
        TimePoint phaseBeganAt;
        /** Target responses of all nodes when the stage began. */
        std::uint64_t stageResponses = 0;
        /** The final state that the store has, which ends the roll-out. */
        std::optional<RolloutState> finalState;
        bool isRunningReported = false;
        TimePoint nextWriteAt;
        TimePoint lastPeerReportAt;
        /** Hosts and domains that have reported the roll-out, for the ranks of the writers. */
        std::map<HostId, TimePoint> hosts;
        std::set<FailureDomainId> domains;
        RolloutEvidence evidence;
        RolloutVerdict verdict;
        RolloutExposure exposure;
        /** Upstreams that get exposed requests; chosen at `targetsChosenAt`. */
        std::set<UpstreamId> targets;
        /** Time until which further lost connections to an upstream count as part of the same crash. */
        std::map<UpstreamId, TimePoint> crashUntil;
        std::uint64_t exposedRequests = 0;
        std::uint64_t requests = 0;
        /** Time since which no node is known to have runs on other versions. */
        std::optional<TimePoint> idleSince;
    };

    /** Rendezvous rank of a host, domain or upstream for the key. */
    static std::uint64_t rankScore(const std::string &name, const std::string &key);
    /** Whether the order is older than that of the roll-out, or the same one written again after a restoration of the store. */
    static bool isKnownOrder(const Rollout &rollout, const RolloutOrder &order);
    Rollout &beginRollout(const PoolId &pool, RolloutOrderId order, const UpstreamVersion &target, TimePoint startedAt);
    Rollout *findRun(const ObservedRun &run);
    void setPhase(Rollout &rollout, RolloutPhase phase, const std::string &reason);
    void applyFinalState(Rollout &rollout, RolloutState state);
    bool hasContact(const Rollout &rollout) const;
    VersionFilter filterFor(const PoolId &pool) const;
    void updateVersions();
    void chooseTargets(Rollout &rollout);
    void advance(Rollout &rollout);
    void advanceExposing(Rollout &rollout, const RolloutTotals &totals);
    void advancePromoting(Rollout &rollout);
    bool isTargetAlone(const Rollout &rollout) const;
    std::uint64_t localBaselineRuns(const Rollout &rollout) const;
    std::optional<RolloutStatus> takeDueWrite(Rollout &rollout);
    Duration writeDelay(const Rollout &rollout) const;
    void write(const RolloutStatus &status);
    RolloutReport makeReport(const Rollout &rollout, RolloutScope scope) const;
    void updateMetrics(const Rollout &rollout, const RolloutTotals &totals);
    void notifyListener();

    RolloutDependencies dependencies;
    RolloutLimits limits;
    HostId host;
    NodeLocation location;
    std::uint64_t process;
    std::atomic<RolloutListener *> listener = nullptr;
    mutable std::mutex mutex;
    /** The newest roll-out of each pool. */
    std::map<PoolId, Rollout> rollouts;
    /** Versions that may be used without an order; an absent pool isn't known yet. */
    std::map<PoolId, std::set<UpstreamVersion>> establishedVersions;
    /** Target versions of roll-outs that didn't complete. */
    std::map<PoolId, std::set<UpstreamVersion>> blockedVersions;
    /** The newest report of each pool in the store. */
    std::map<PoolId, RolloutStatus> statuses;
    TimePoint versionsDueAt;
    TimePoint reportDueAt = TimePoint::max();
    /** Earliest time of the next reports to other relays, which are sent with those to the group. */
    TimePoint relayReportDueAt;
    bool isChanged = false;
};

}
