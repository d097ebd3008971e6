#pragma once

#include <LibCore/RandomSource.h>
#include <LibPolicy/UpstreamChooser.h>
#include <LibPolicy/UpstreamTable.h>

#include <unordered_map>
#include <vector>

namespace Lovageward {

/** Base class of the baseline choosers. Collects the usable upstreams and makes a request wait only if there is none. */
class BaselineChooser : public UpstreamChooser
{
public:
    BaselineChooser(RandomSource &random, const UpstreamTable &table, RegionId ownRegion);

    std::optional<UpstreamChoice> choose(const PlacementRequest &request) final;
    void recordStart(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request) final;
    void recordProgress(PlacementId id, TokenCount produced) final;
    void recordEnd(PlacementId id, TokenCount produced, bool isComplete) final;

protected:
    /** Returns the position of the choice in `candidates`, which is sorted by slot and not empty. */
    virtual std::size_t select(const std::vector<UpstreamSummary> &candidates) = 0;

    /** Number of outstanding requests of this node on the upstream. */
    std::uint32_t outstanding(std::uint32_t slot) const;

    RandomSource &random;

private:
    bool isUsable(const UpstreamSummary &summary) const;

    const UpstreamTable &table;
    RegionId ownRegion;
    std::unordered_map<std::uint32_t, std::uint32_t> outstandingBySlot;
    std::unordered_map<PlacementId, std::uint32_t> slotByPlacement;
    std::vector<UpstreamSummary> summaries;
};

}
