#include <LibGateway/UpstreamPicker.h>

#include <LibGateway/EngineCost.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Maximum utilization of an engine with all runs at their expected ends. Runs end at different times, so the actual utilization is lower. */
constexpr double maximumUtilization = 1;

/** Cost of sending a request to another failure domain, as slot utilization. Transfers between domains are billed by volume. */
constexpr double otherDomainCost = 0.2;
/** Cost of sending a request to another region, whose link is slow in addition. */
constexpr double otherRegionCost = 0.4;

/** Time that a request to another region takes in addition: the handshake and the request are one round trip of 40 ms each. */
constexpr Duration otherRegionTime = milliseconds(80);

/**
 * Cost of an unloaded service at its usual speed, in service times. It is subtracted, so that services without a recent report, whose cost is their
 * utilization, compare with the others.
 */
constexpr double unloadedServiceCost = 1;

/** Converts a distance cost to seconds at an engine. The load of far engines is known with a delay, in a large fleet only as a sum. */
constexpr double secondsPerDistanceCost = 4;

/** Cost of an upstream that fails every request: as slot utilization of a plain service, and in seconds at an engine. */
constexpr double failureCost = 3;
constexpr double failureCostSeconds = 10;

/** Maximum number of requests at a plain service per slot. Services have a short queue in front of their slots. */
constexpr double maximumRequestsPerSlot = 3;

/** Weight of the distance for standby copies. A transfer between failure domains occupies the shared links of both engines for twice as long. */
constexpr double standbyDistanceWeight = 1.5;

/** Weight of the distance for migrations. A draining engine has two seconds to send all its runs, so near targets are strongly preferred. */
constexpr double migrationDistanceWeight = 6;

/** Random part of the cost of a copy target, so that runs that leave an engine together don't all queue at one target. */
constexpr double copyTargetJitter = 0.3;

/** Random part of the placement cost, so that nodes with the same information don't all choose the same one of several equal upstreams. */
constexpr double placementJitter = 0.02;

}

RegionId NodeLocation::regionOf(const FailureDomainId &domain) const
{
    auto found = this->regions.find(domain);
    return found == this->regions.end() ? RegionId() : found->second;
}

double UpstreamPicker::distanceCost(const FailureDomainId &from, const FailureDomainId &to) const
{
    if (from == to) {
        return 0;
    }
    return this->location.regionOf(from) == this->location.regionOf(to) ? otherDomainCost : otherRegionCost;
}

double UpstreamPicker::utilizationWith(const Candidate &candidate, const UpstreamPool &pool, const Footprint &footprint) const
{
    if (pool.engine) {
        auto kvCacheTokens = static_cast<double>(pool.engine->kvCacheTokens.value());
        auto kvCacheUtilization = (candidate.load.peakTokens + footprint.peakTokens(0)) / std::max(kvCacheTokens, 1.0);
        auto slotUtilization = (candidate.load.runs + 1.0) / std::max(1U, pool.engine->slots);
        return std::max(kvCacheUtilization, slotUtilization);
    }
    return (candidate.load.runs + 1.0) / std::max(1U, candidate.record.slots);
}

Pick UpstreamPicker::pick(const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &footprint) const
{
    Pick best;
    double lowestCost = 0;
    auto limit = pool.engine ? maximumUtilization : maximumRequestsPerSlot;
    FallbackTokenTime fallback;
    for (const auto &candidate : candidates) {
        fallback.addSample(candidate.tokenTime);
    }
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const auto &candidate = candidates[position];
        auto utilization = this->utilizationWith(candidate, pool, footprint);
        // Requests wait at an engine until its KV cache has room, whatever is known of its load. Plain services have a queue for short waits.
        auto isFull = utilization > limit || (pool.engine && candidate.hasWaitingRequests);
        if (isFull) {
            best.outcome = best.outcome == PickOutcome::Picked ? best.outcome : PickOutcome::NoRoom;
            continue;
        }
        auto cost = this->estimateCost(candidate, pool, footprint, fallback.tokenTime()) + placementJitter * this->random.unit();
        if (best.outcome != PickOutcome::Picked || cost < lowestCost) {
            best = Pick { PickOutcome::Picked, position };
            lowestCost = cost;
        }
    }
    return best;
}

double UpstreamPicker::estimateCost(const Candidate &candidate, const UpstreamPool &pool, const Footprint &footprint, Duration fallbackTokenTime) const
{
    auto utilization = this->utilizationWith(candidate, pool, footprint);
    auto distance = this->distanceCost(this->location.failureDomain, candidate.record.failureDomain);
    if (!pool.engine && candidate.speed) {
        return this->predictServiceCost(candidate) + distance + failureCost * candidate.failureRate;
    }
    if (!pool.engine) {
        return utilization + distance + failureCost * candidate.failureRate;
    }
    auto tokenTime = candidate.tokenTime > Duration(0) ? candidate.tokenTime : fallbackTokenTime;
    auto engineCost = estimateEngineCost(EngineState { candidate.load, tokenTime, utilization, candidate.speed.value_or(UpstreamSpeed()) }, footprint);
    return engineCost + secondsPerDistanceCost * distance + failureCostSeconds * candidate.failureRate;
}

double UpstreamPicker::predictServiceCost(const Candidate &candidate) const
{
    auto backlogPerSlot = static_cast<double>(candidate.load.runs) / std::max(1U, candidate.record.slots);
    auto isOtherRegion = this->location.regionOf(candidate.record.failureDomain) != this->location.regionOf(this->location.failureDomain);
    auto networkTime = isOtherRegion ? otherRegionTime : Duration(0);
    auto networkCost = std::chrono::duration<double>(networkTime) / std::chrono::duration<double>(candidate.serviceTime);
    return (backlogPerSlot + 1) * candidate.speed->factorOver(candidate.serviceTime) + networkCost - unloadedServiceCost;
}

std::optional<std::size_t> UpstreamPicker::pickCopyTarget(
    const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &footprint, const UpstreamRecord &runner, CopyPurpose purpose) const
{
    std::optional<std::size_t> best;
    double lowestCost = 0;
    auto isMigration = purpose == CopyPurpose::Migration;
    auto limit = isMigration ? maximumUtilization : this->standbyUtilizationLimit;
    auto distanceWeight = isMigration ? migrationDistanceWeight : standbyDistanceWeight;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const auto &candidate = candidates[position];
        auto utilization = this->utilizationWith(candidate, pool, footprint);
        if (candidate.record.id == runner.id || utilization > limit) {
            continue;
        }
        auto transferCost = distanceWeight * this->distanceCost(runner.failureDomain, candidate.record.failureDomain);
        auto cost = utilization + transferCost + failureCost * candidate.failureRate + copyTargetJitter * this->random.unit();
        if (!best || cost < lowestCost) {
            best = position;
            lowestCost = cost;
        }
    }
    return best;
}

}
