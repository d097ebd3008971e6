#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibPolicy/ForecastSettings.h>
#include <LibPolicy/LengthModel.h>
#include <LibPolicy/MemoryForecast.h>
#include <LibPolicy/UpstreamChooser.h>
#include <LibPolicy/UpstreamTable.h>

#include <atomic>
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

    /** Live nodes that use the same upstreams, from membership. The only call that may come from any thread. */
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

    /** The work of one pool, learned from what arrives at this node. */
    struct PoolWork
    {
        /**
         * Fading sum of the stationary profiles of arrivals. The work that runs here now would mislead: on a node that gets
         * no room only the longest work is left, which makes the forecast worse and keeps the node without room.
         */
        MemoryProfile arrivals;
        double arrivalCount = 0;
        ReportLag reportLag;
        /** Time until which the pool counts as having work that protects the gap between tokens. */
        TimePoint gapProtectedUntil;
    };

    struct GroupProfile
    {
        MemoryProfile profile;
        std::uint32_t uses = 0;
    };

    struct Work
    {
        std::uint32_t slot = 0;
        LengthModel::Group group = 0;
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
        /** True if the prompt's beginning is probably cached there and it isn't crowded. */
        bool isAffine = false;
        /** The lowest is chosen. */
        double load = 0;
    };

    void collect(const PlacementRequest &request, const PoolId &pool, bool isInside, const MemoryProfile &need);
    void consider(const PlacementRequest &request, PoolWork &pool, const UpstreamBrief &brief, bool isAffine, const MemoryProfile &need);
    AdmissionBound boundFor(const PlacementRequest &request, const PoolWork &pool, const Site &site) const;
    void keepTeamSubset(const PlacementRequest &request);
    std::optional<UpstreamChoice> pick();
    std::optional<UpstreamChoice> choiceOf(const Candidate &candidate) const;
    void countArrival(const PlacementRequest &request, LengthModel::Group group);
    static MemoryProfile typicalOf(const PoolWork &pool);
    double fillFor(const PlacementRequest &request, const Site &site) const;
    void pruneSites();

    const Clock &clock;
    RandomSource &random;
    const UpstreamTable &table;
    ForecastSettings settings;
    std::atomic<std::size_t> nodeCount;
    LengthModel lengths;
    std::unordered_map<std::uint32_t, Site> sites;
    std::unordered_map<PoolId, PoolWork> pools;
    /** Stationary profile per group, computed anew after some starts. */
    std::unordered_map<LengthModel::Group, GroupProfile> groupProfiles;
    std::unordered_map<PlacementId, Work> works;
    /** Kept between calls only to save allocations. */
    std::vector<UpstreamBrief> briefs;
    std::vector<Candidate> warm;
    std::vector<Candidate> cold;
    std::vector<std::uint32_t> excludedSlots;
    std::size_t sitesAtLastPrune = 64;
};

}
