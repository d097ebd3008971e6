#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibPolicy/ForecastSettings.h>
#include <LibPolicy/LengthModel.h>
#include <LibPolicy/MemoryForecast.h>
#include <LibPolicy/UpstreamChooser.h>
#include <LibPolicy/UpstreamTable.h>

#include <unordered_map>
#include <vector>

namespace Lovageward {

/**
 * Places work where the forecast of KV memory over the remaining life of all work leaves room for it, and makes it wait
 * otherwise, since an engine that runs out of memory preempts and computes again.
 */
class ForecastChooser final : public UpstreamChooser
{
public:
    ForecastChooser(const Clock &clock, RandomSource &random, const UpstreamTable &table, const ForecastSettings &settings);

    std::optional<UpstreamChoice> choose(const PlacementRequest &request) override;
    void started(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request) override;
    void progressed(PlacementId id, TokenCount produced) override;
    void finished(PlacementId id, TokenCount produced, bool isComplete) override;

    /** Live nodes that use the same upstreams, from membership. */
    void setNodeCount(std::size_t count);

    /** The lengths learned so far. */
    LengthModel &lengthModel();

private:
    /** An upstream as this node has used it. */
    struct Site
    {
        MemoryForecast forecast;
        bool wasCold = false;
        TimePoint rampEnd;
    };

    /** Sums over this node's work in one pool. */
    struct PoolWork
    {
        MemoryProfile profile;
        /** Time until which the pool counts as having work that protects the gap between tokens. */
        TimePoint gapProtectedUntil;
    };

    struct Work
    {
        std::uint32_t slot = 0;
        LengthModel::Group group = 0;
        PoolWork *pool = nullptr;
        TokenCount promptTokens;
        TokenCount produced;
        /** Produced tokens from which on the profile is computed again. */
        std::uint64_t nextUpdate = 0;
        MemoryProfile profile;
    };

    struct Candidate
    {
        std::uint32_t slot = 0;
        bool isCold = false;
        bool isAffine = false;
        double load = 0;
    };

    void collect(const PlacementRequest &request, const PoolId &pool, bool isInside, const MemoryProfile &need);
    void consider(const PlacementRequest &request, PoolWork &pool, const UpstreamBrief &brief, bool isAffine, const MemoryProfile &need);
    bool admits(const PlacementRequest &request, const PoolWork &pool, Site &site, const UpstreamBrief &brief, const MemoryProfile &need);
    void keepTeamSubset(const PlacementRequest &request);
    std::optional<UpstreamChoice> pick();
    std::optional<UpstreamChoice> choiceOf(const Candidate &candidate) const;
    double fillFor(const PlacementRequest &request, const Site &site) const;
    void pruneSites();

    const Clock &clock;
    RandomSource &random;
    const UpstreamTable &table;
    ForecastSettings settings;
    LengthModel lengths;
    std::unordered_map<std::uint32_t, Site> sites;
    std::unordered_map<PoolId, PoolWork> pools;
    std::unordered_map<PlacementId, Work> works;
    /** Kept between calls only to save allocations. */
    std::vector<UpstreamBrief> briefs;
    std::vector<Candidate> warm;
    std::vector<Candidate> cold;
    std::vector<std::uint32_t> excludedSlots;
    std::size_t sitesAtLastPrune = 64;
};

}
