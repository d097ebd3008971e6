#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/LatencyReference.h>
#include <LibGateway/RolloutReport.h>

#include <map>
#include <utility>

namespace Lovageward {

/** Which upstreams a response belongs to. */
enum class RolloutSide {
    Target,
    Baseline,
};

/**
 * Counts the responses of the target version and of the other versions during one roll-out: those of this node, and those that peers report. A response
 * counts as slow if it took more than twice as long as the median of the other versions' responses that this node received on the same route in the last
 * seconds. So a domain that is slow as a whole, a burst of load or a long prompt makes responses of both sides slow alike. Counts of a process stay when
 * the process ends. Load pattern: the few exposed requests of a node are too few to judge a version by, those of all nodes aren't. Not thread-safe.
 */
class RolloutEvidence
{
public:
    RolloutEvidence(const Clock &clock, std::uint64_t process) : clock(clock), process(process)
    {
    }

    static std::uint64_t hashRoute(const RouteId &route);

    /** A response, or the first event of a stream, has arrived after `latency`. `judgesLatency` is false for upstreams that are cold. */
    void recordStart(const RouteId &route, RolloutSide side, Duration latency, bool judgesLatency);
    /** The events of a stream arrive at this interval. */
    void recordPace(const RouteId &route, RolloutSide side, Duration interval, bool judgesLatency);
    void recordFailure(const RouteId &route, RolloutSide side);
    /** A caller has left after `waited` without a response. Counts as a slow response if the wait was longer than usual, else not at all. */
    void recordAbandoned(const RouteId &route, RolloutSide side, Duration waited);

    /** Adds the evidence of a peer's report. `domain` is the failure domain of its sender. */
    void merge(const RolloutReport &report, const FailureDomainId &domain);

    /** Counts of this process. */
    const RolloutTotals &own() const
    {
        return this->ownTotals;
    }

    /** Counts of this process and of the processes that report to it directly. */
    RolloutTotals group() const;
    /** Counts of the failure domains whose relays report to this node. */
    RolloutTotals reportedDomains() const;
    /** All counts that this node knows of. */
    RolloutTotals all() const;

    /** Nodes and their runs on other versions, of the reports received within the last seconds. */
    struct Coverage
    {
        std::uint32_t nodeCount = 0;
        std::uint64_t baselineRuns = 0;
    };

    /** Coverage of the processes that report to this node directly, without this one. */
    Coverage groupCoverage() const;
    /** Coverage of the failure domains whose relays report to this node. */
    Coverage domainCoverage() const;
    /** Coverage of all other nodes. */
    Coverage coverage() const;

    /** Number of failure domains whose relays have reported within the last seconds. */
    std::size_t liveDomainCount() const;

    /** Time of the last report about the nodes of other failure domains. */
    TimePoint lastRemoteReportAt() const
    {
        return this->remoteReportedAt;
    }

private:
    struct Source
    {
        RolloutTotals totals;
        Coverage coverage;
        TimePoint reportedAt;
    };

    RouteCounts &countsOf(std::uint64_t route);
    RolloutCounts &countsOf(const RouteId &route, RolloutSide side);
    static void mergeInto(Source &source, const RolloutReport &report, TimePoint now);
    template<typename Sources>
    Coverage sumCoverage(const Sources &sources) const;

    const Clock &clock;
    std::uint64_t process;
    RolloutTotals ownTotals;
    /** By the hash of the route: time to the response or first event, and time per event. */
    std::map<std::uint64_t, std::pair<LatencyReference, LatencyReference>> references;
    std::map<std::uint64_t, Source> processes;
    std::map<FailureDomainId, Source> domains;
    Source otherDomains;
    TimePoint remoteReportedAt;
};

/** Counts of the target version on all routes. */
RolloutCounts targetSum(const RolloutTotals &totals);

}
