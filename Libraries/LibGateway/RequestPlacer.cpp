#include <LibGateway/RequestPlacer.h>

#include <algorithm>
#include <limits>

namespace Lovageward {

namespace {

/** Number of far upstreams that a request considers. Two random choices balance nearly as well as all, and nodes don't all choose the same one. */
constexpr std::size_t farSampleSize = 2;

/** Number of near upstreams that a request considers. The least loaded of 16 is nearly the least loaded of all. */
constexpr std::size_t nearSampleSize = 16;

/** Requests per second that all nodes together send to an upstream that accepts none or hardly any. Only a response shows the end of a stated limit. */
constexpr double lowestRequestRate = 0.1;

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

}

RequestPlacer::RequestPlacer(const Clock &clock,
                             const UpstreamRegistry &registry,
                             LoadTracker &loadTracker,
                             const TokenTimeTracker &tokenTimes,
                             const UpstreamHealth &health,
                             const UpstreamRefusals &refusals,
                             const StatedRateLimits &rateLimits,
                             UpstreamRateLimiter &rateLimiter,
                             UpstreamSpeedTracker &speeds,
                             const UpstreamPicker &picker,
                             RandomSource &random,
                             const FleetView &fleet,
                             RolloutGate *rollouts)
    : clock(clock)
    , registry(registry)
    , loadTracker(loadTracker)
    , tokenTimes(tokenTimes)
    , health(health)
    , refusals(refusals)
    , rateLimits(rateLimits)
    , rateLimiter(rateLimiter)
    , speeds(speeds)
    , picker(picker)
    , random(random)
    , fleet(fleet)
    , rollouts(rollouts)
{
}

PlacementResult RequestPlacer::place(const PlacementConstraints &constraints)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->rollouts == nullptr) {
        return this->placeAmong(constraints, [](const UpstreamRecord & /*upstream*/) { return true; });
    }
    auto isFirstAttempt = constraints.excluded.empty();
    auto rule = this->rollouts->beginPlacement(constraints.pool.id, constraints.route.id, isFirstAttempt);
    PlacementResult result;
    if (rule.target) {
        result = this->placeAmong(constraints, [&](const UpstreamRecord &upstream) { return rule.target->includes(upstream); });
        if (result.outcome != PickOutcome::Picked && rule.isExposure) {
            this->rollouts->cancelExposure(constraints.pool.id);
        }
    }
    if (result.outcome != PickOutcome::Picked) {
        result = this->placeAmong(constraints, [&](const UpstreamRecord &upstream) { return rule.filter.allows(upstream.version); });
    }
    if (result.outcome == PickOutcome::Picked) {
        result.run.observation = this->rollouts->observe(constraints.route.id, result.run.upstream, isFirstAttempt);
    }
    return result;
}

PlacementResult RequestPlacer::placeAmong(const PlacementConstraints &constraints, const VersionPredicate &isEligible)
{
    PlacementResult result;
    std::optional<TimePoint> refusedUntil;
    auto candidates = this->collectCandidates(constraints, refusedUntil, isEligible);
    result.candidates = candidates.size();
    if (refusedUntil) {
        result.outcome = PickOutcome::Refused;
        result.availableAt = *refusedUntil;
        return result;
    }
    result.availableAt = TimePoint::max();
    result.forecast = forecastBestRun(candidates, constraints.pool, constraints.footprint);
    if (constraints.following && !candidates.empty()) {
        removeEnginesThatDelay(*constraints.following, candidates, constraints.pool, constraints.footprint);
        result.candidates = candidates.size();
        if (candidates.empty()) {
            result.outcome = PickOutcome::NoRoom;
            return result;
        }
    }
    while (true) {
        auto pick = this->picker.pick(candidates, constraints.pool, constraints.footprint);
        auto hasSkipped = candidates.size() < result.candidates;
        // In a hierarchical fleet the next placement draws other candidates, so it may succeed before.
        auto skippedOutcome = this->fleet.isHierarchical() ? PickOutcome::NoRoom : PickOutcome::RateLimited;
        result.outcome = pick.outcome == PickOutcome::NoUpstream && hasSkipped ? skippedOutcome : pick.outcome;
        if (pick.outcome != PickOutcome::Picked) {
            return result;
        }
        const auto &chosen = candidates[pick.position];
        if (!this->tryAcquireRate(chosen.record, constraints.pool)) {
            result.availableAt = std::min(result.availableAt, this->nextAvailableAt(chosen.record));
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick.position));
            continue;
        }
        result.run.upstream = chosen.record;
        result.run.load = chosen.load;
        result.run.failureRate = chosen.failureRate;
        result.run.tokenTime = chosen.tokenTime;
        result.run.reservation = std::make_unique<LoadReservation>(this->loadTracker, chosen.record.id, constraints.footprint, RunKind::Fresh);
        return result;
    }
}

PlacementResult RequestPlacer::placeCopy(const PlacementConstraints &constraints, const UpstreamRecord &runner, CopyPurpose purpose)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    PlacementResult result;
    std::optional<TimePoint> refusedUntil;
    auto versions = this->rollouts == nullptr ? VersionFilter() : this->rollouts->copyFilter(constraints.pool.id, runner);
    auto candidates = this->collectCandidates(constraints, refusedUntil, [&](const UpstreamRecord &upstream) { return versions.allows(upstream.version); });
    result.candidates = candidates.size();
    auto pick = [&] { return this->picker.pickCopyTarget(candidates, constraints.pool, constraints.footprint, runner, purpose); };
    auto position = pick();
    while (position && !this->admitsCopy(candidates[*position].record, purpose)) {
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*position));
        position = pick();
    }
    if (!position) {
        result.outcome = result.candidates == 0 ? PickOutcome::NoUpstream : PickOutcome::NoRoom;
        return result;
    }
    const auto &chosen = candidates[*position];
    result.outcome = PickOutcome::Picked;
    result.run.upstream = chosen.record;
    result.run.load = chosen.load;
    result.run.failureRate = chosen.failureRate;
    result.run.tokenTime = chosen.tokenTime;
    result.run.reservation = std::make_unique<LoadReservation>(
        this->loadTracker, chosen.record.id, constraints.footprint, purpose == CopyPurpose::Migration ? RunKind::Resumed : RunKind::StandbyCopy);
    return result;
}

bool RequestPlacer::tryAcquireRate(const UpstreamRecord &upstream, const UpstreamPool &pool)
{
    auto rate = this->rateLimits.limit(upstream);
    if (pool.coldRequestsPerSecond > 0 && this->clock.now() < upstream.coldUntil) {
        rate = std::min(rate.value_or(pool.coldRequestsPerSecond), pool.coldRequestsPerSecond);
    }
    return !rate || this->rateLimiter.tryAcquire(upstream.id, std::max(*rate, lowestRequestRate), this->fleet.nodeCount());
}

bool RequestPlacer::tryAcquireRateLimit(const UpstreamRecord &upstream)
{
    auto limit = this->rateLimits.limit(upstream);
    return !limit || this->rateLimiter.tryAcquire(upstream.id, std::max(*limit, lowestRequestRate), this->fleet.nodeCount());
}

TimePoint RequestPlacer::nextAvailableAt(const UpstreamRecord &upstream) const
{
    auto nextSlotAt = this->rateLimiter.nextSlotAt(upstream.id);
    return this->rateLimits.limit(upstream) ? nextSlotAt : std::min(nextSlotAt, upstream.coldUntil);
}

bool RequestPlacer::admitsCopy(const UpstreamRecord &upstream, CopyPurpose purpose)
{
    return purpose == CopyPurpose::Migration ? this->tryAcquireRateLimit(upstream) : !this->rateLimits.limit(upstream);
}

PoolId RequestPlacer::choosePool(const Route &route, double draw)
{
    double total = 0;
    for (const auto &share : route.pools) {
        total += share.weight;
    }
    auto point = draw * total;
    for (const auto &share : route.pools) {
        if (point < share.weight) {
            return share.pool;
        }
        point -= share.weight;
    }
    return route.pools.empty() ? PoolId() : route.pools.back().pool;
}

Candidate RequestPlacer::makeCandidate(UpstreamRecord record, const Footprint &footprint) const
{
    Candidate candidate;
    candidate.load = this->loadTracker.load(record.id);
    candidate.failureRate = this->health.failureRate(record.id);
    candidate.tokenTime = this->tokenTimes.tokenTime(record.id);
    auto aggregate = this->loadTracker.aggregateLoad(record.failureDomain, record.pool);
    auto upstreamCount = static_cast<std::uint32_t>(std::max<std::size_t>(1, this->registry.countUsable(record.pool, record.failureDomain)));
    // Runs of nodes that this node knows nothing of are taken for runs like those of their pool and domain, else for runs like this one.
    auto remote = this->loadTracker.remoteLoad(record.id);
    auto remoteRuns = aggregate.runs + remote.runs;
    auto peakTokensPerRun = remoteRuns > 0 ? (aggregate.peakTokens + remote.peakTokens) / remoteRuns : footprint.peakTokens(0);
    aggregate.runs = (aggregate.runs + upstreamCount / 2) / upstreamCount;
    aggregate.decodingRuns = (aggregate.decodingRuns + upstreamCount / 2) / upstreamCount;
    aggregate.peakTokens /= upstreamCount;
    aggregate.pendingPrefillTokens /= upstreamCount;
    aggregate += remote;
    auto estimate = this->speeds.estimate(record, IndirectLoad { aggregate, peakTokensPerRun, footprint.promptTokens });
    candidate.load += estimate.indirectLoad;
    candidate.hasWaitingRequests = estimate.hasWaitingRequests;
    candidate.speed = estimate.speed;
    candidate.serviceTime = estimate.serviceTime;
    candidate.record = std::move(record);
    return candidate;
}

bool RequestPlacer::acceptsRequests(const UpstreamRecord &upstream) const
{
    return this->registry.isUsable(upstream.id) && !this->refusals.refusedUntil(upstream)
        && (this->rollouts == nullptr || this->rollouts->mayContinueOn(upstream));
}

std::vector<Candidate> RequestPlacer::collectCandidates(const PlacementConstraints &constraints,
                                                        std::optional<TimePoint> &refusedUntil,
                                                        const VersionPredicate &isVersionEligible) const
{
    const auto &location = this->picker.nodeLocation();
    auto isEligible = [&](const UpstreamRecord &record) {
        const auto &allowed = constraints.allowedRegions;
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), location.regionOf(record.failureDomain)) == allowed.end()) {
            return false;
        }
        if (!isVersionEligible(record)) {
            return false;
        }
        // Upstreams that the request has already been sent to count here, because their refusals also determine when to retry.
        auto until = this->refusals.refusedUntil(record);
        if (until) {
            refusedUntil = std::min(refusedUntil.value_or(*until), *until);
        }
        return !until && std::find(constraints.excluded.begin(), constraints.excluded.end(), record.id) == constraints.excluded.end();
    };
    auto isHierarchical = this->fleet.isHierarchical();
    std::vector<Candidate> candidates;
    for (auto &record : this->registry.sampleUsable(constraints.pool.id,
                                                    location.failureDomain,
                                                    isHierarchical ? nearSampleSize : unlimited,
                                                    isHierarchical ? farSampleSize : unlimited,
                                                    this->random,
                                                    isEligible)) {
        candidates.push_back(this->makeCandidate(std::move(record), constraints.footprint));
    }
    if (!candidates.empty()) {
        refusedUntil.reset();
    }
    return candidates;
}

}
