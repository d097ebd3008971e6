#include <LibGateway/UpstreamPicker.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Share of an engine's memory that runs may take at their expected ends. Runs end at different times, so they rarely reach it together. */
constexpr double fullFill = 1;

/** Fill up to which an engine takes standby copies, which only serve interrupted runs. */
constexpr double fullFillForStandby = 0.35;

/** Load of a memory full of prompts that aren't read yet. Engines read them one after another, so a run waits for all of them. */
constexpr double unreadCost = 3;

/** Load that a run at another failure domain must save. Transfers between domains are billed by volume. */
constexpr double otherDomainCost = 0.2;
/** As otherDomainCost, for another region: the link is slow as well. */
constexpr double otherRegionCost = 0.4;

/** Load that equals an upstream which fails every request. */
constexpr double failureCost = 3;

/** Requests that a plain service may hold for each slot; the queue behind its slots is short. */
constexpr double runsPerSlot = 3;

/** Transfers between failure domains take twice as long on the links of both engines, which all copies share. */
constexpr double transferDistanceFactor = 1.5;

/** Spread between targets of copies: runs that leave an engine together must not all queue at one target. */
constexpr double copySpread = 0.3;

/** Spread between equal upstreams, so that nodes with the same view don't all choose the same one. */
constexpr double tieSpread = 0.02;

}

RegionId Location::regionOf(const FailureDomainId &domain) const
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

double UpstreamPicker::fillAfter(const Candidate &candidate, const UpstreamPool &pool, const Footprint &footprint) const
{
    if (pool.engine) {
        auto memory = static_cast<double>(pool.engine->memory.value());
        auto memoryFill = (candidate.load.peakTokens + footprint.peak(0)) / std::max(memory, 1.0);
        auto slotFill = (candidate.load.runs + 1.0) / std::max(1U, pool.engine->slots);
        return std::max(memoryFill, slotFill);
    }
    return (candidate.load.runs + 1.0) / std::max(1U, candidate.record.slots);
}

Pick UpstreamPicker::pick(const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &footprint) const
{
    Pick best;
    double lowest = 0;
    auto limit = pool.engine ? fullFill : runsPerSlot;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const auto &candidate = candidates[position];
        auto fill = this->fillAfter(candidate, pool, footprint);
        if (fill > limit) {
            best.outcome = best.outcome == PickOutcome::Picked ? best.outcome : PickOutcome::NoRoom;
            continue;
        }
        auto cost = fill + this->unreadShare(candidate, pool) + this->distanceCost(this->location.failureDomain, candidate.record.failureDomain)
            + failureCost * candidate.failureShare + tieSpread * this->random.unit();
        if (best.outcome != PickOutcome::Picked || cost < lowest) {
            best = Pick { PickOutcome::Picked, position };
            lowest = cost;
        }
    }
    return best;
}

double UpstreamPicker::unreadShare(const Candidate &candidate, const UpstreamPool &pool) const
{
    return pool.engine ? unreadCost * candidate.load.unreadTokens / std::max(static_cast<double>(pool.engine->memory.value()), 1.0) : 0;
}

std::optional<std::size_t> UpstreamPicker::pickForCopy(
    const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &footprint, const UpstreamRecord &runner, CopyPurpose purpose) const
{
    std::optional<std::size_t> best;
    double lowest = 0;
    auto limit = purpose == CopyPurpose::Standby ? fullFillForStandby : fullFill;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const auto &candidate = candidates[position];
        auto fill = this->fillAfter(candidate, pool, footprint);
        if (candidate.record.id == runner.id || fill > limit) {
            continue;
        }
        auto transferCost = transferDistanceFactor * this->distanceCost(runner.failureDomain, candidate.record.failureDomain);
        auto cost = fill + transferCost + failureCost * candidate.failureShare + copySpread * this->random.unit();
        if (!best || cost < lowest) {
            best = position;
            lowest = cost;
        }
    }
    return best;
}

}
