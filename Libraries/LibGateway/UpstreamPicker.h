#pragma once

#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/UpstreamRecord.h>
#include <LibGateway/UpstreamSpeedTracker.h>

#include <map>
#include <optional>
#include <vector>

namespace Lovageward {

/** Failure domain and region of this node, and the region of each known failure domain. */
struct NodeLocation
{
    FailureDomainId failureDomain;
    RegionId region;
    std::map<FailureDomainId, RegionId> regions;

    /** The region of the domain; empty if the domain isn't configured. */
    RegionId regionOf(const FailureDomainId &domain) const;
};

/** An upstream that may run a request, with the state that placement depends on. */
struct Candidate
{
    UpstreamRecord record;
    UpstreamLoad load;
    /** See UpstreamHealth::failureRate. */
    double failureRate = 0;
    /** See TokenTimeTracker::tokenTime. */
    Duration tokenTime = Duration(0);
    /** See UpstreamEstimate. */
    bool hasWaitingRequests = false;
    std::optional<UpstreamSpeed> speed = std::nullopt;
    Duration serviceTime = Duration(0);
};

enum class PickOutcome {
    Picked,
    /** No upstream may run the request. */
    NoUpstream,
    /** All upstreams that may run the request are full. */
    NoRoom,
    /** All upstreams that may run the request currently refuse requests from this node. */
    Refused,
    /** This node has used up its share of the request rates of all upstreams that may run the request. */
    RateLimited,
};

struct Pick
{
    PickOutcome outcome = PickOutcome::NoUpstream;
    /** Index of the chosen candidate. */
    std::size_t position = 0;
};

/** Purpose of a copy of a run's KV cache. */
enum class CopyPurpose {
    /** Allows the run to continue if its engine fails. */
    Standby,
    /** The run is about to be migrated to the engine with the copy. */
    Migration,
};

/**
 * Chooses the engine with the lowest cost for a run (see estimateEngineCost()), or the plain service with the most free slots, of
 * those that report their load the one with the lowest predicted time to the response. Distance and failure rate
 * add to the cost, so a near upstream is preferred until a far one is clearly better. Load pattern: long outputs on engines whose KV cache fills up
 * before their slots. An engine gets a run only if all its runs fit at their expected ends.
 */
class UpstreamPicker
{
public:
    /**
     * `standbyUtilizationLimit` is the utilization up to which engines get standby copies; 0 disables them. Standby copies compete for KV cache and network
     * bandwidth with runs that are migrated from a draining engine.
     */
    UpstreamPicker(NodeLocation location, RandomSource &random, double standbyUtilizationLimit)
        : location(std::move(location)), random(random), standbyUtilizationLimit(standbyUtilizationLimit)
    {
    }

    Pick pick(const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &footprint) const;

    /** Index of an engine other than `runner` with room for a copy of a run of `runner`. Near engines are preferred because links are slow. */
    std::optional<std::size_t> pickCopyTarget(const std::vector<Candidate> &candidates,
                                              const UpstreamPool &pool,
                                              const Footprint &footprint,
                                              const UpstreamRecord &runner,
                                              CopyPurpose purpose) const;

    const NodeLocation &nodeLocation() const
    {
        return this->location;
    }

private:
    double utilizationWith(const Candidate &candidate, const UpstreamPool &pool, const Footprint &footprint) const;
    double estimateCost(const Candidate &candidate, const UpstreamPool &pool, const Footprint &footprint, Duration fallbackTokenTime) const;
    /** Predicted time to the response of a plain service that reports its load, in service times of its pool. */
    double predictServiceCost(const Candidate &candidate) const;
    double distanceCost(const FailureDomainId &from, const FailureDomainId &to) const;

    NodeLocation location;
    RandomSource &random;
    double standbyUtilizationLimit;
};

}
