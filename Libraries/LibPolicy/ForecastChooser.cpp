#include <LibPolicy/ForecastChooser.h>
#include <LibPolicy/Hashing.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Longest completion target for which a request isn't deferred in favour of others. */
constexpr auto shortTargetTime = seconds(15);
/** Time for which a request with a token gap target keeps the token gap bounds in force for its pool. */
constexpr auto gapProtectionTime = seconds(60);
/** Share of the fill limit that applies to an upstream at the moment it turns warm. */
constexpr double slowStartFill = 0.3;
/** Smallest number of tokens between two computations of a request's profile. */
constexpr std::uint64_t profileUpdateTokens = 16;
/** The interval grows to the produced tokens divided by this, which bounds the cost per token for long outputs. */
constexpr std::uint64_t profileUpdateDivisor = 16;
/** Placed requests after which an older one counts 1/e in a pool's typical profile. */
constexpr double arrivalWindow = 300;
/** Starts of a group's requests between two computations of its stationary profile. */
constexpr std::uint32_t startsPerGroupProfile = 16;
/** Weight of a placed request in a pool's typical profile, in KV blocks. */
constexpr double blocksPerArrival = 50;
/**
 * Additional headroom per second of report lag, in standard deviations. Requests that other nodes start and end meanwhile make a
 * late report less certain.
 */
constexpr double deviationsPerSecondOfLag = 0.1;
/** Samples drawn per decision from a pool that is larger than one sample. */
constexpr int sampleRounds = 2;

bool isDeferrable(const PlacementRequest &request)
{
    auto isShort = request.target == TargetKind::FirstToken || (request.target == TargetKind::Completion && request.targetTime <= shortTargetTime);
    return !isShort;
}

}

ForecastChooser::ForecastChooser(const Clock &clock, RandomSource &random, const UpstreamTable &table, const ForecastSettings &settings)
    : clock(clock), random(random), table(table), settings(settings), nodeCount(settings.nodeCount)
{
}

std::optional<UpstreamChoice> ForecastChooser::choose(const PlacementRequest &request)
{
    const auto &distribution = this->lengths.distribution(this->lengths.groupIndex(request.workClass, request.team));
    auto need = MemoryProfile::forRequest(distribution, static_cast<double>(request.promptTokens.value()), 0, this->settings.tokensPerBlock);
    this->excludedSlots.clear();
    for (const auto &id : request.excluded) {
        this->excludedSlots.push_back(this->table.slotOf(id).value_or(0));
    }
    for (auto isInRegion : { true, false }) {
        if (!isInRegion && request.isOwnRegionOnly) {
            break;
        }
        this->warmCandidates.clear();
        this->coldCandidates.clear();
        for (const auto &pool : request.pools) {
            this->collectCandidates(request, pool, isInRegion, need);
        }
        if (auto choice = this->pickCandidate()) {
            return choice;
        }
    }
    return std::nullopt;
}

void ForecastChooser::collectCandidates(const PlacementRequest &request, const PoolId &pool, bool isInRegion, const MemoryProfile &need)
{
    auto &statistics = this->pools[pool];
    if (request.target == TargetKind::TokenGap) {
        statistics.gapProtectedUntil = this->clock.now() + gapProtectionTime;
    }
    UpstreamSampleRequest sample { .pool = pool, .region = this->settings.ownRegion, .isInRegion = isInRegion, .limit = this->settings.sampleSize };
    for (int round = 0; round < sampleRounds; ++round) {
        this->summaries.clear();
        sample.affinityHash = round == 0 ? request.prefixHash : 0;
        auto size = this->table.sample(sample, this->random, this->summaries);
        this->limitToTeamSubset(request);
        for (std::size_t index = 0; index < this->summaries.size(); ++index) {
            auto hasPrefixAffinity = index == 0 && sample.affinityHash != 0;
            this->addCandidate(request, statistics, this->summaries[index], hasPrefixAffinity, need);
        }
        if (size <= sample.limit || !this->warmCandidates.empty()) {
            break;
        }
    }
}

void ForecastChooser::limitToTeamSubset(const PlacementRequest &request)
{
    if (this->settings.teamSubsetSize == 0 || this->summaries.size() <= this->settings.teamSubsetSize) {
        return;
    }
    auto team = hashText(request.team.value());
    std::sort(this->summaries.begin(), this->summaries.end(), [team](const UpstreamSummary &left, const UpstreamSummary &right) {
        return hashPair(left.idHash, team) > hashPair(right.idHash, team);
    });
    this->summaries.resize(this->settings.teamSubsetSize);
}

void ForecastChooser::addCandidate(
    const PlacementRequest &request, PoolStatistics &pool, const UpstreamSummary &summary, bool hasPrefixAffinity, const MemoryProfile &need)
{
    if (summary.phase == UpstreamPhase::Leaving || std::ranges::find(this->excludedSlots, summary.slot) != this->excludedSlots.end()) {
        return;
    }
    auto &tracked = this->trackedUpstreams[summary.slot];
    tracked.forecast.applyReport(summary, typicalProfile(pool), pool.reportLag, this->random.unit());
    if (summary.phase == UpstreamPhase::Cold) {
        tracked.wasCold = tracked.wasCold || summary.hasReport;
        auto outstanding = static_cast<std::uint32_t>(tracked.forecast.outstanding());
        if (std::max(outstanding, summary.running) < summary.coldLimit) {
            this->coldCandidates.push_back({ .slot = summary.slot, .isCold = true, .load = static_cast<double>(summary.running) });
        }
        return;
    }
    if (tracked.wasCold) {
        tracked.wasCold = false;
        tracked.slowStartEnd = this->clock.now() + this->settings.slowStartWindow;
    }
    if (summary.kvBlocksTotal == 0) {
        // Services without KV memory queue requests themselves, so only the number of requests counts.
        auto outstandingRequests = summary.running + summary.waiting + static_cast<std::uint32_t>(tracked.forecast.outstanding());
        this->warmCandidates.push_back({ .slot = summary.slot, .load = static_cast<double>(outstandingRequests) });
        return;
    }
    auto bound = this->admissionBound(request, pool, tracked);
    auto room = tracked.forecast.headroomAfter(need, bound);
    if (room) {
        auto hasUsableAffinity = hasPrefixAffinity && tracked.forecast.load(bound.nodeCount) < this->settings.maximumAffinityLoad;
        this->warmCandidates.push_back({ .slot = summary.slot, .hasPrefixAffinity = hasUsableAffinity, .load = -*room });
    }
}

AdmissionBound ForecastChooser::admissionBound(const PlacementRequest &request, const PoolStatistics &pool, const TrackedUpstream &tracked) const
{
    auto isGapProtected = this->clock.now() < pool.gapProtectedUntil;
    auto deviations = isGapProtected ? this->settings.tokenGapDeviations : this->settings.completionDeviations;
    auto lag = std::chrono::duration<double>(pool.reportLag.lag()).count();
    return { .deviations = deviations + deviationsPerSecondOfLag * lag,
             .fillLimit = this->fillLimit(request, tracked),
             .nodeCount = static_cast<double>(this->nodeCount.load(std::memory_order_relaxed)) };
}

double ForecastChooser::fillLimit(const PlacementRequest &request, const TrackedUpstream &tracked) const
{
    auto now = this->clock.now();
    double fill = 1;
    if (isDeferrable(request)) {
        auto waited = std::chrono::duration<double>(now - request.arrivedAt);
        auto age = std::clamp(waited / std::chrono::duration<double>(this->settings.agingTime), 0.0, 1.0);
        fill = this->settings.initialFillLimit + (1 - this->settings.initialFillLimit) * age;
    }
    if (now < tracked.slowStartEnd) {
        auto left = std::chrono::duration<double>(tracked.slowStartEnd - now) / std::chrono::duration<double>(this->settings.slowStartWindow);
        fill *= 1 - (1 - slowStartFill) * left;
    }
    return fill;
}

std::optional<UpstreamChoice> ForecastChooser::pickCandidate()
{
    auto useCold = !this->coldCandidates.empty() && (this->warmCandidates.empty() || this->random.unit() < this->settings.coldProbability);
    auto &candidates = useCold ? this->coldCandidates : this->warmCandidates;
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.front().hasPrefixAffinity) {
        return this->makeChoice(candidates.front());
    }
    // Takes the least loaded of a few random candidates. All nodes would choose the same one if they took the least loaded of all.
    auto drawn = std::min(candidates.size(), this->settings.drawnCandidates);
    for (std::size_t index = 0; index < drawn; ++index) {
        auto other = index + this->random.below(candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    auto end = candidates.begin() + static_cast<std::ptrdiff_t>(drawn);
    auto best = std::min_element(candidates.begin(), end, [](const auto &left, const auto &right) { return left.load < right.load; });
    return this->makeChoice(*best);
}

std::optional<UpstreamChoice> ForecastChooser::makeChoice(const Candidate &candidate) const
{
    auto id = this->table.idOf(candidate.slot);
    if (!id) {
        return std::nullopt;
    }
    return UpstreamChoice { .upstream = *id, .needsCredit = candidate.isCold };
}

void ForecastChooser::recordStart(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request)
{
    Placement placement;
    placement.slot = this->table.slotOf(upstream).value_or(0);
    placement.group = this->lengths.groupIndex(request.workClass, request.team);
    placement.promptTokens = request.promptTokens;
    this->lengths.recordStart(placement.group);
    const auto &distribution = this->lengths.distribution(placement.group);
    placement.profile = MemoryProfile::forRequest(distribution, static_cast<double>(request.promptTokens.value()), 0, this->settings.tokensPerBlock);
    placement.nextUpdate = profileUpdateTokens;
    this->recordArrival(request, placement.group);
    this->trackedUpstreams[placement.slot].forecast.replaceWork({}, placement.profile, 1, this->clock.now());
    this->placements.emplace(id, placement);
    this->pruneTrackedUpstreams();
}

void ForecastChooser::recordArrival(const PlacementRequest &request, LengthModel::GroupIndex group)
{
    if (request.pools.empty()) {
        return;
    }
    auto &cached = this->groupProfiles[group];
    if (cached.useCount++ % startsPerGroupProfile == 0) {
        const auto &distribution = this->lengths.distribution(group);
        cached.profile = MemoryProfile::stationary(distribution, static_cast<double>(request.promptTokens.value()), this->settings.tokensPerBlock);
    }
    auto &pool = this->pools[request.pools.front()];
    pool.arrivalProfile *= 1 - 1 / arrivalWindow;
    pool.arrivalProfile += cached.profile;
    pool.arrivalCount = pool.arrivalCount * (1 - 1 / arrivalWindow) + 1;
}

MemoryProfile ForecastChooser::typicalProfile(const PoolStatistics &pool)
{
    auto typical = pool.arrivalProfile;
    if (typical.mean[0] > 0) {
        // The scale gives MemoryForecast's assumption of constant memory use the weight of about ten arrivals.
        typical *= blocksPerArrival * pool.arrivalCount / typical.mean[0];
    }
    return typical;
}

void ForecastChooser::recordProgress(PlacementId id, TokenCount produced)
{
    auto found = this->placements.find(id);
    if (found == this->placements.end() || produced.value() < found->second.nextUpdate) {
        return;
    }
    auto &placement = found->second;
    this->lengths.recordProgress(placement.group, placement.produced, produced);
    placement.produced = produced;
    placement.nextUpdate = produced.value() + std::max(profileUpdateTokens, produced.value() / profileUpdateDivisor);
    auto prompt = static_cast<double>(placement.promptTokens.value());
    const auto &distribution = this->lengths.distribution(placement.group);
    auto profile = MemoryProfile::forRequest(distribution, prompt, static_cast<double>(produced.value()), this->settings.tokensPerBlock);
    this->trackedUpstreams[placement.slot].forecast.replaceWork(placement.profile, profile, 0, this->clock.now());
    placement.profile = profile;
}

void ForecastChooser::recordEnd(PlacementId id, TokenCount produced, bool isComplete)
{
    auto found = this->placements.find(id);
    if (found == this->placements.end()) {
        return;
    }
    auto &placement = found->second;
    this->lengths.recordEnd(placement.group, placement.produced, produced, isComplete);
    this->trackedUpstreams[placement.slot].forecast.replaceWork(placement.profile, {}, -1, this->clock.now());
    this->placements.erase(found);
}

void ForecastChooser::setNodeCount(std::size_t count)
{
    this->nodeCount.store(std::max<std::size_t>(count, 1), std::memory_order_relaxed);
}

LengthModel &ForecastChooser::lengthModel()
{
    return this->lengths;
}

void ForecastChooser::pruneTrackedUpstreams()
{
    if (this->trackedUpstreams.size() < 2 * this->trackedCountAtLastPrune) {
        return;
    }
    std::erase_if(this->trackedUpstreams, [this](const auto &item) { return item.second.forecast.outstanding() == 0 && !this->table.idOf(item.first); });
    this->trackedCountAtLastPrune = std::max<std::size_t>(this->trackedUpstreams.size(), 64);
}

}
