#include <LibPolicy/ForecastChooser.h>
#include <LibPolicy/Hashing.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Work that must be complete within this time can't wait for room. */
constexpr auto shortTarget = seconds(15);
/** How long one request keeps the bounds that its class asks of the whole pool. */
constexpr auto classProtection = seconds(60);
/** Fill that an upstream starts with after it turned warm. */
constexpr double rampStart = 0.3;
/** Profiles are computed again after this many tokens, or a share of those produced, which keeps the cost per token low. */
constexpr std::uint64_t updateTokens = 16;
constexpr std::uint64_t updateDivisor = 16;
/** Arrivals that describe the work of a pool. */
constexpr double arrivalMemory = 300;
constexpr std::uint32_t usesPerGroupProfile = 16;
constexpr double blocksPerArrival = 50;
/** Work that other nodes send and lose in the meantime makes late reports less certain. */
constexpr double deviationsPerSecondOfLag = 0.1;
/** Calls of sample per decision in a pool that is larger than the sample. */
constexpr int sampleRounds = 2;

bool canWait(const PlacementRequest &request)
{
    auto isShort = request.target == TargetKind::FirstToken || (request.target == TargetKind::Completion && request.targetTime <= shortTarget);
    return !isShort;
}

}

ForecastChooser::ForecastChooser(const Clock &clock, RandomSource &random, const UpstreamTable &table, const ForecastSettings &settings)
    : clock(clock), random(random), table(table), settings(settings), nodeCount(settings.nodeCount)
{
}

std::optional<UpstreamChoice> ForecastChooser::choose(const PlacementRequest &request)
{
    const auto &curve = this->lengths.curve(this->lengths.group(request.workClass, request.team));
    auto need = MemoryProfile::of(curve, static_cast<double>(request.promptTokens.value()), 0, this->settings.tokensPerBlock);
    this->excludedSlots.clear();
    for (const auto &id : request.excluded) {
        this->excludedSlots.push_back(this->table.slotOf(id).value_or(0));
    }
    for (auto isInside : { true, false }) {
        if (!isInside && request.isOwnRegionOnly) {
            break;
        }
        this->warm.clear();
        this->cold.clear();
        for (const auto &pool : request.pools) {
            this->collect(request, pool, isInside, need);
        }
        if (auto choice = this->pick()) {
            return choice;
        }
    }
    return std::nullopt;
}

void ForecastChooser::collect(const PlacementRequest &request, const PoolId &pool, bool isInside, const MemoryProfile &need)
{
    auto &work = this->pools[pool];
    if (request.target == TargetKind::TokenGap) {
        work.gapProtectedUntil = this->clock.now() + classProtection;
    }
    UpstreamSample sample { .pool = pool, .region = this->settings.ownRegion, .isInside = isInside, .limit = this->settings.sampleSize };
    for (int round = 0; round < sampleRounds; ++round) {
        this->briefs.clear();
        sample.affinityHash = round == 0 ? request.prefixHash : 0;
        auto size = this->table.sample(sample, this->random, this->briefs);
        this->keepTeamSubset(request);
        for (std::size_t index = 0; index < this->briefs.size(); ++index) {
            auto isAffine = index == 0 && sample.affinityHash != 0;
            this->consider(request, work, this->briefs[index], isAffine, need);
        }
        if (size <= sample.limit || !this->warm.empty()) {
            break;
        }
    }
}

void ForecastChooser::keepTeamSubset(const PlacementRequest &request)
{
    if (this->settings.teamSubset == 0 || this->briefs.size() <= this->settings.teamSubset) {
        return;
    }
    auto team = hashText(request.team.value());
    std::sort(this->briefs.begin(), this->briefs.end(), [team](const UpstreamBrief &left, const UpstreamBrief &right) {
        return hashPair(left.idHash, team) > hashPair(right.idHash, team);
    });
    this->briefs.resize(this->settings.teamSubset);
}

void ForecastChooser::consider(const PlacementRequest &request, PoolWork &pool, const UpstreamBrief &brief, bool isAffine, const MemoryProfile &need)
{
    if (brief.phase == UpstreamPhase::Leaving || std::ranges::find(this->excludedSlots, brief.slot) != this->excludedSlots.end()) {
        return;
    }
    auto &site = this->sites[brief.slot];
    site.forecast.refresh(brief, typicalOf(pool), pool.reportLag, this->random.unit());
    if (brief.phase == UpstreamPhase::Cold) {
        site.wasCold = site.wasCold || brief.hasReport;
        auto outstanding = static_cast<std::uint32_t>(site.forecast.outstanding());
        if (std::max(outstanding, brief.running) < brief.coldLimit) {
            this->cold.push_back({ .slot = brief.slot, .isCold = true, .load = static_cast<double>(brief.running) });
        }
        return;
    }
    if (site.wasCold) {
        site.wasCold = false;
        site.rampEnd = this->clock.now() + this->settings.rampTime;
    }
    if (brief.kvBlocksTotal == 0) {
        // Plain services have no KV memory and queue for themselves.
        auto pieces = brief.running + brief.waiting + static_cast<std::uint32_t>(site.forecast.outstanding());
        this->warm.push_back({ .slot = brief.slot, .load = static_cast<double>(pieces) });
        return;
    }
    auto bound = this->boundFor(request, pool, site);
    auto room = site.forecast.roomAfter(need, bound);
    if (room) {
        auto isAffineHere = isAffine && site.forecast.load(bound.nodes) < this->settings.affinityLoad;
        this->warm.push_back({ .slot = brief.slot, .isAffine = isAffineHere, .load = -*room });
    }
}

AdmissionBound ForecastChooser::boundFor(const PlacementRequest &request, const PoolWork &pool, const Site &site) const
{
    auto isGapProtected = this->clock.now() < pool.gapProtectedUntil;
    auto deviations = isGapProtected ? this->settings.gapDeviations : this->settings.completionDeviations;
    auto lag = std::chrono::duration<double>(pool.reportLag.lag()).count();
    return { .deviations = deviations + deviationsPerSecondOfLag * lag,
             .fill = this->fillFor(request, site),
             .nodes = static_cast<double>(this->nodeCount.load(std::memory_order_relaxed)) };
}

double ForecastChooser::fillFor(const PlacementRequest &request, const Site &site) const
{
    auto now = this->clock.now();
    double fill = 1;
    if (canWait(request)) {
        auto waited = std::chrono::duration<double>(now - request.arrivedAt);
        auto age = std::clamp(waited / std::chrono::duration<double>(this->settings.agedAfter), 0.0, 1.0);
        fill = this->settings.youngFill + (1 - this->settings.youngFill) * age;
    }
    if (now < site.rampEnd) {
        auto left = std::chrono::duration<double>(site.rampEnd - now) / std::chrono::duration<double>(this->settings.rampTime);
        fill *= 1 - (1 - rampStart) * left;
    }
    return fill;
}

std::optional<UpstreamChoice> ForecastChooser::pick()
{
    auto useCold = !this->cold.empty() && (this->warm.empty() || this->random.unit() < this->settings.coldChance);
    auto &candidates = useCold ? this->cold : this->warm;
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.front().isAffine) {
        return this->choiceOf(candidates.front());
    }
    // The least loaded of a few drawn at random: the least loaded of all would be the same on every node.
    auto drawn = std::min(candidates.size(), this->settings.drawnCandidates);
    for (std::size_t index = 0; index < drawn; ++index) {
        auto other = index + this->random.below(candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    auto end = candidates.begin() + static_cast<std::ptrdiff_t>(drawn);
    auto best = std::min_element(candidates.begin(), end, [](const auto &left, const auto &right) { return left.load < right.load; });
    return this->choiceOf(*best);
}

std::optional<UpstreamChoice> ForecastChooser::choiceOf(const Candidate &candidate) const
{
    auto id = this->table.idOf(candidate.slot);
    if (!id) {
        return std::nullopt;
    }
    return UpstreamChoice { .upstream = *id, .needsCredit = candidate.isCold };
}

void ForecastChooser::started(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request)
{
    Work work;
    work.slot = this->table.slotOf(upstream).value_or(0);
    work.group = this->lengths.group(request.workClass, request.team);
    work.promptTokens = request.promptTokens;
    this->lengths.started(work.group);
    const auto &curve = this->lengths.curve(work.group);
    work.profile = MemoryProfile::of(curve, static_cast<double>(request.promptTokens.value()), 0, this->settings.tokensPerBlock);
    work.nextUpdate = updateTokens;
    this->countArrival(request, work.group);
    this->sites[work.slot].forecast.change({}, work.profile, 1, this->clock.now());
    this->works.emplace(id, work);
    this->pruneSites();
}

void ForecastChooser::countArrival(const PlacementRequest &request, LengthModel::Group group)
{
    if (request.pools.empty()) {
        return;
    }
    auto &cached = this->groupProfiles[group];
    if (cached.uses++ % usesPerGroupProfile == 0) {
        const auto &curve = this->lengths.curve(group);
        cached.profile = MemoryProfile::stationary(curve, static_cast<double>(request.promptTokens.value()), this->settings.tokensPerBlock);
    }
    auto &pool = this->pools[request.pools.front()];
    pool.arrivals *= 1 - 1 / arrivalMemory;
    pool.arrivals += cached.profile;
    pool.arrivalCount = pool.arrivalCount * (1 - 1 / arrivalMemory) + 1;
}

MemoryProfile ForecastChooser::typicalOf(const PoolWork &pool)
{
    auto typical = pool.arrivals;
    if (typical.mean[0] > 0) {
        // The forecast mixes its assumption for the unknown in with the weight of some ten arrivals.
        typical *= blocksPerArrival * pool.arrivalCount / typical.mean[0];
    }
    return typical;
}

void ForecastChooser::progressed(PlacementId id, TokenCount produced)
{
    auto found = this->works.find(id);
    if (found == this->works.end() || produced.value() < found->second.nextUpdate) {
        return;
    }
    auto &work = found->second;
    this->lengths.progressed(work.group, work.produced, produced);
    work.produced = produced;
    work.nextUpdate = produced.value() + std::max(updateTokens, produced.value() / updateDivisor);
    auto prompt = static_cast<double>(work.promptTokens.value());
    const auto &curve = this->lengths.curve(work.group);
    auto profile = MemoryProfile::of(curve, prompt, static_cast<double>(produced.value()), this->settings.tokensPerBlock);
    this->sites[work.slot].forecast.change(work.profile, profile, 0, this->clock.now());
    work.profile = profile;
}

void ForecastChooser::finished(PlacementId id, TokenCount produced, bool isComplete)
{
    auto found = this->works.find(id);
    if (found == this->works.end()) {
        return;
    }
    auto &work = found->second;
    this->lengths.finished(work.group, work.produced, produced, isComplete);
    this->sites[work.slot].forecast.change(work.profile, {}, -1, this->clock.now());
    this->works.erase(found);
}

void ForecastChooser::setNodeCount(std::size_t count)
{
    this->nodeCount.store(std::max<std::size_t>(count, 1), std::memory_order_relaxed);
}

LengthModel &ForecastChooser::lengthModel()
{
    return this->lengths;
}

void ForecastChooser::pruneSites()
{
    if (this->sites.size() < 2 * this->sitesAtLastPrune) {
        return;
    }
    std::erase_if(this->sites, [this](const auto &item) { return item.second.forecast.outstanding() == 0 && !this->table.idOf(item.first); });
    this->sitesAtLastPrune = std::max<std::size_t>(this->sites.size(), 64);
}

}
