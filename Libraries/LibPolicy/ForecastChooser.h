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
 * Places a request on an upstream whose KV memory, forecast over the remaining lifetime of all its requests, has room for it.
 * If none has, the request waits: an engine that runs out of KV memory preempts requests and has to recompute them.
 */
class ForecastChooser final : public UpstreamChooser
{
public:
    ForecastChooser(const Clock &clock, RandomSource &random, const UpstreamTable &table, const ForecastSettings &settings);

    std::optional<UpstreamChoice> choose(const PlacementRequest &request) override;
    void recordStart(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request) override;
    void recordProgress(PlacementId id, TokenCount produced) override;
    void recordEnd(PlacementId id, TokenCount produced, bool isComplete) override;

    /** Sets the number of live nodes that use the same upstreams, from membership. The only thread-safe call of this class. */
    void setNodeCount(std::size_t count);

    /** Model of output lengths that this chooser has learned. */
    LengthModel &lengthModel();

private:
    /** Forecast and slow-start state of an upstream. */
    struct TrackedUpstream
    {
        MemoryForecast forecast;
        bool wasCold = false;
        TimePoint slowStartEnd;
    };

    /** Properties of a pool's requests, learned from the requests that this node places. */
    struct PoolStatistics
    {
        /**
         * Exponentially decaying sum of the stationary profiles of placed requests. The running requests aren't used instead:
         * on a node that can't place new requests only the longest ones remain, which would raise the forecast and keep the
         * node from placing any.
         */
        MemoryProfile arrivalProfile;
        /** Exponentially decaying number of the requests in `arrivalProfile`. */
        double arrivalCount = 0;
        ReportLagEstimator reportLag;
        /** Time until which the pool is treated as serving requests with a target for the gap between tokens. */
        TimePoint gapProtectedUntil;
    };

    struct GroupProfile
    {
        MemoryProfile profile;
        /** Starts of requests of the group; decides when the profile is recomputed. */
        std::uint32_t useCount = 0;
    };

    /** A running request of this node. */
    struct Placement
    {
        std::uint32_t slot = 0;
        LengthModel::GroupIndex group = 0;
        TokenCount promptTokens;
        TokenCount produced;
        /** Number of produced tokens at which the profile is recomputed. */
        std::uint64_t nextUpdate = 0;
        MemoryProfile profile;
    };

    struct Candidate
    {
        std::uint32_t slot = 0;
        bool isCold = false;
        /** True if the upstream probably caches the prompt's prefix and its load is below `maximumAffinityLoad`. */
        bool hasPrefixAffinity = false;
        /** Comparable only between candidates of one decision; a lower value is preferred. */
        double load = 0;
    };

    void collectCandidates(const PlacementRequest &request, const PoolId &pool, bool isInRegion, const MemoryProfile &need);
    void addCandidate(const PlacementRequest &request, PoolStatistics &pool, const UpstreamSummary &summary, bool hasPrefixAffinity, const MemoryProfile &need);
    AdmissionBound admissionBound(const PlacementRequest &request, const PoolStatistics &pool, const TrackedUpstream &tracked) const;
    void limitToTeamSubset(const PlacementRequest &request);
    std::optional<UpstreamChoice> pickCandidate();
    std::optional<UpstreamChoice> makeChoice(const Candidate &candidate) const;
    void recordArrival(const PlacementRequest &request, LengthModel::GroupIndex group);
    static MemoryProfile typicalProfile(const PoolStatistics &pool);
    double fillLimit(const PlacementRequest &request, const TrackedUpstream &tracked) const;
    void pruneTrackedUpstreams();

    const Clock &clock;
    RandomSource &random;
    const UpstreamTable &table;
    ForecastSettings settings;
    std::atomic<std::size_t> nodeCount;
    LengthModel lengths;
    std::unordered_map<std::uint32_t, TrackedUpstream> trackedUpstreams;
    std::unordered_map<PoolId, PoolStatistics> pools;
    /** Stationary profile per group, recomputed after every few starts. */
    std::unordered_map<LengthModel::GroupIndex, GroupProfile> groupProfiles;
    std::unordered_map<PlacementId, Placement> placements;
    // Buffers of a single decision, kept between calls to avoid allocations.
    std::vector<UpstreamSummary> summaries;
    std::vector<Candidate> warmCandidates;
    std::vector<Candidate> coldCandidates;
    std::vector<std::uint32_t> excludedSlots;
    std::size_t trackedCountAtLastPrune = 64;
};

}
