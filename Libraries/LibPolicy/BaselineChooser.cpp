#include <LibPolicy/BaselineChooser.h>

#include <algorithm>
#include <limits>

namespace Lovageward {

BaselineChooser::BaselineChooser(RandomSource &random, const UpstreamTable &table, RegionId ownRegion)
    : random(random), table(table), ownRegion(std::move(ownRegion))
{
}

std::optional<UpstreamChoice> BaselineChooser::choose(const PlacementRequest &request)
{
    this->summaries.clear();
    UpstreamSampleRequest sample;
    sample.region = this->ownRegion;
    sample.limit = std::numeric_limits<std::size_t>::max();
    for (const auto &pool : request.pools) {
        sample.pool = pool;
        for (auto isInRegion : { true, false }) {
            sample.isInRegion = isInRegion;
            if (isInRegion || !request.isOwnRegionOnly) {
                this->table.sample(sample, this->random, this->summaries);
            }
        }
    }
    std::erase_if(this->summaries, [this](const UpstreamSummary &summary) { return !this->isUsable(summary); });
    for (const auto &id : request.excluded) {
        auto slot = this->table.slotOf(id);
        std::erase_if(this->summaries, [slot](const UpstreamSummary &summary) { return summary.slot == slot; });
    }
    if (this->summaries.empty()) {
        return std::nullopt;
    }
    std::ranges::sort(this->summaries, {}, &UpstreamSummary::slot);
    const auto &chosen = this->summaries[this->select(this->summaries)];
    auto id = this->table.idOf(chosen.slot);
    if (!id) {
        return std::nullopt;
    }
    return UpstreamChoice { .upstream = *id, .needsCredit = chosen.phase == UpstreamPhase::Cold };
}

bool BaselineChooser::isUsable(const UpstreamSummary &summary) const
{
    if (summary.phase == UpstreamPhase::Cold) {
        return std::max(summary.running, this->outstanding(summary.slot)) < summary.coldLimit;
    }
    return summary.phase == UpstreamPhase::Warm;
}

void BaselineChooser::recordStart(PlacementId id, const UpstreamId &upstream, const PlacementRequest & /*request*/)
{
    auto slot = this->table.slotOf(upstream).value_or(0);
    ++this->outstandingBySlot[slot];
    this->slotByPlacement.emplace(id, slot);
}

void BaselineChooser::recordProgress(PlacementId /*id*/, TokenCount /*produced*/)
{
}

void BaselineChooser::recordEnd(PlacementId id, TokenCount /*produced*/, bool /*isComplete*/)
{
    auto found = this->slotByPlacement.find(id);
    if (found == this->slotByPlacement.end()) {
        return;
    }
    auto count = this->outstandingBySlot.find(found->second);
    if (--count->second == 0) {
        this->outstandingBySlot.erase(count);
    }
    this->slotByPlacement.erase(found);
}

std::uint32_t BaselineChooser::outstanding(std::uint32_t slot) const
{
    auto found = this->outstandingBySlot.find(slot);
    return found == this->outstandingBySlot.end() ? 0 : found->second;
}

}
