#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ForwardProtocol.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/UpstreamRecord.h>
#include <LibGateway/UpstreamSpeedReport.h>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Lovageward {

/** Where a node has a report from. */
enum class ReportOrigin {
    /** A response to this node. */
    Own,
    /** A response to another node of its group. */
    Group,
    /** A response to a node of another failure domain, forwarded by relays. */
    OtherDomain,
};

/** The receivers of reports. */
enum class ReportChannel {
    /** Each node sends the reports that it received in responses to its group. */
    Group,
    /** Relays send the reports of their domain to the relays of the other domains. */
    Relays,
    /** Relays send the reports of the other domains to their group. */
    ForwardToGroup,
};

/** How long work takes at an upstream, as a multiple of the usual time. */
struct UpstreamSpeed
{
    /** Mean over the process's reports. */
    double mean = 1;
    /** Newest report, moved towards the mean by its age. */
    double current = 1;

    /**
     * Expected slowness of work that takes `time`, relative to the mean, which measured times already contain. The newest report says little about the
     * later part of long work.
     */
    double factorOver(Duration time) const;
};

/** What this node knows about the load of the nodes that don't report to it directly. */
struct IndirectLoad
{
    /** Estimate for one upstream from the sums of its pool and domain. */
    UpstreamLoad share;
    /** KV cache of a run, in tokens, for runs that are known only by their number. */
    double peakTokensPerRun = 0;
    double promptTokensPerRun = 0;
};

/** What the newest report of an upstream process says now. */
struct UpstreamEstimate
{
    /** Load of the nodes that don't report to this node directly. */
    UpstreamLoad indirectLoad;
    /** Requests wait at the upstream, so a further one would wait as well. */
    bool hasWaitingRequests = false;
    /** Nullopt if no recent report of the process is known. */
    std::optional<UpstreamSpeed> speed;
    /** Time that a plain service of the pool takes for a request that doesn't wait, at its usual speed. */
    Duration serviceTime = Duration(0);
};

/**
 * Tracks the load and the speed that upstreams report in their responses, and selects the reports that peers need. A report describes the moment at
 * which the response arrived: requests that it counts beyond those known then are load from nodes that don't report to this node; requests that are
 * known to have started or ended since are added or subtracted. Load pattern: nodes of several failure domains that place runs on the same
 * engine, each knowing the others' loads only as sums that are seconds old, on machines that are slow for a fraction of a second at a time.
 * Thread-safe; its mutex is a leaf lock.
 */
class UpstreamSpeedTracker
{
public:
    /** Unless `appliesToAllPools` is set, reports affect only pools in which an upstream has reported its slowness. */
    UpstreamSpeedTracker(const Clock &clock, const LoadTracker &loads, bool appliesToAllPools);

    /**
     * Records the load in a response of the process whose head arrived at `receivedAt`, unless a newer report is known. Returns true if peers need it
     * without delay, at most every few seconds.
     */
    bool recordReport(const UpstreamRecord &upstream, const ReportedLoad &load, TimePoint receivedAt);

    /** Records the time that the process took for a request after which it reported this load. Times of requests that may have waited are ignored. */
    void recordServiceTime(const UpstreamRecord &upstream, const ReportedLoad &load, Duration time);

    /** Records what a peer reports, unless a newer report is known. Returns true if it has to be forwarded without delay. */
    bool recordPeerReport(const UpstreamSpeedReport &report, ReportOrigin origin);

    /**
     * Takes the reports that are to be sent to `receivers` nodes now: those that differ most from what was sent before, first those that show that
     * requests have begun or ceased to wait. Their rate is limited by the bytes per second that the control traffic allows.
     */
    std::vector<UpstreamSpeedReport> takeReports(ReportChannel channel, std::size_t receivers);

    /** Returns `indirect.share` unchanged if no recent report of the process applies. */
    UpstreamEstimate estimate(const UpstreamRecord &upstream, const IndirectLoad &indirect);

    /** Whether reports affect any pool. */
    bool appliesToAnyPool() const;

    static std::uint32_t hashBootId(const BootId &boot);

private:
    struct State
    {
        std::uint32_t bootHash = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::optional<std::uint32_t> slowness;
        double meanSlowness = 1;
        TimePoint reportedAt;
        ReportOrigin origin = ReportOrigin::Own;
    };

    /** State of an upstream when it was last sent. */
    struct SentState
    {
        std::uint32_t bootHash = 0;
        std::uint32_t requests = 0;
        bool hasWaiting = false;
        std::uint32_t slowness = 0;
        TimePoint reportedAt;
        TimePoint sentAt;
    };

    struct Channel
    {
        std::map<std::uint64_t, SentState> sent;
        /** Number of reports that may be sent now. */
        double allowance = 0;
        TimePoint allowanceUpdatedAt;
    };

    bool replace(std::uint64_t upstreamHash, const State &reported);
    /** The urgency of sending the state on the channel; nullopt if the receivers don't need it. */
    std::optional<double> urgency(ReportChannel channel, std::uint64_t upstreamHash, const State &state, double meanRequests) const;
    /** Adds the reports that the time since the last call allows. */
    void updateAllowance(ReportChannel channel, std::size_t receivers);
    void removeExpired();

    const Clock &clock;
    const LoadTracker &loads;
    bool appliesToAllPools;
    mutable std::mutex mutex;
    std::map<std::uint64_t, State> states;
    /** Pools in which an upstream has reported its slowness. */
    std::set<PoolId> reportingPools;
    std::map<PoolId, Duration> serviceTimes;
    std::array<Channel, 3> channels;
    TimePoint removalDueAt;
    TimePoint announcementAllowedAt;
};

}
