#include <LibPolicy/SimpleChooser.h>

#include <algorithm>
#include <limits>

namespace Lovageward {

SimpleChooser::SimpleChooser(RandomSource &random, const UpstreamTable &table, RegionId ownRegion)
    : random(random), table(table), ownRegion(std::move(ownRegion))
{
}

std::optional<UpstreamChoice> SimpleChooser::choose(const PlacementRequest &request)
{
    this->briefs.clear();
    UpstreamSample sample;
    sample.region = this->ownRegion;
    sample.limit = std::numeric_limits<std::size_t>::max();
    for (const auto &pool : request.pools) {
        sample.pool = pool;
        for (auto isInside : { true, false }) {
            sample.isInside = isInside;
            if (isInside || !request.isOwnRegionOnly) {
                this->table.sample(sample, this->random, this->briefs);
            }
        }
    }
    std::erase_if(this->briefs, [this](const UpstreamBrief &brief) { return !this->isUsable(brief); });
    for (const auto &id : request.excluded) {
        auto slot = this->table.slotOf(id);
        std::erase_if(this->briefs, [slot](const UpstreamBrief &brief) { return brief.slot == slot; });
    }
    if (this->briefs.empty()) {
        return std::nullopt;
    }
    std::ranges::sort(this->briefs, {}, &UpstreamBrief::slot);
    const auto &chosen = this->briefs[this->select(this->briefs)];
    auto id = this->table.idOf(chosen.slot);
    if (!id) {
        return std::nullopt;
    }
    return UpstreamChoice { .upstream = *id, .needsCredit = chosen.phase == UpstreamPhase::Cold };
}

bool SimpleChooser::isUsable(const UpstreamBrief &brief) const
{
    if (brief.phase == UpstreamPhase::Cold) {
        return std::max(brief.running, this->outstanding(brief.slot)) < brief.coldLimit;
    }
    return brief.phase == UpstreamPhase::Warm;
}

void SimpleChooser::started(PlacementId id, const UpstreamId &upstream, const PlacementRequest & /*request*/)
{
    auto slot = this->table.slotOf(upstream).value_or(0);
    ++this->outstandingBySlot[slot];
    this->slotByPlacement.emplace(id, slot);
}

void SimpleChooser::progressed(PlacementId /*id*/, TokenCount /*produced*/)
{
}

void SimpleChooser::finished(PlacementId id, TokenCount /*produced*/, bool /*isComplete*/)
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

std::uint32_t SimpleChooser::outstanding(std::uint32_t slot) const
{
    auto found = this->outstandingBySlot.find(slot);
    return found == this->outstandingBySlot.end() ? 0 : found->second;
}

}
