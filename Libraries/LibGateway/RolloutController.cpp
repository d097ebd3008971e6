#include <LibGateway/RolloutController.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration stepInterval = milliseconds(250);

/** Interval at which versions of all pools are counted and the exposed upstreams are chosen. */
constexpr Duration versionInterval = seconds(1);

/** Shortest time in a stage, and the target responses of all nodes in it, before the next stage. */
constexpr Duration minimumStageTime = seconds(2);
constexpr std::uint64_t minimumStageResponses = 10;

/** Part of the order's time after which a version can be promoted. Faults that begin late are found before. */
constexpr double promotionPart = 0.75;
/** Part of the time by which a version without enough evidence is rolled back; the rest is needed to migrate the runs. */
constexpr double latestPromotionPart = 0.85;

/** Target responses on each route and in all that a promotion needs: a version that fails a quarter has failed 25 times with probability 0.999. */
constexpr std::uint64_t responsesPerRoute = 25;
constexpr std::uint64_t responsesInAll = 60;
/** The same at the latest time of a promotion, for pools with few requests. */
constexpr std::uint64_t lateResponsesPerRoute = 8;
constexpr std::uint64_t lateResponsesInAll = 30;

/** Shortest time between the promotion and the completion, in which a version that breaks down under all requests is still rolled back. */
constexpr Duration minimumPromotionTime = seconds(2);
/** Time for which no node may have runs on old versions before the completion. */
constexpr Duration minimumIdleTime = seconds(1);

/** The completion is written this part of the order's time before its end, within these limits, because the store can be unavailable for seconds. */
constexpr int completionMarginDivisor = 12;
constexpr Duration minimumCompletionMargin = seconds(3);
constexpr Duration maximumCompletionMargin = seconds(8);

std::string_view phaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Exposing:
        return "exposing";
    case RolloutPhase::Promoting:
        return "promoting";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        break;
    }
    return "rolled_back";
}

}

std::uint64_t RolloutController::rankScore(const std::string &name, const std::string &key)
{
    return XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0));
}

RolloutController::RolloutController(
    const RolloutDependencies &dependencies, const RolloutLimits &limits, HostId host, NodeLocation location, std::uint64_t process)
    : dependencies(dependencies), limits(limits), host(std::move(host)), location(std::move(location)), process(process)
{
}

RolloutController::Rollout &RolloutController::beginRollout(const PoolId &pool, RolloutOrderId order, const UpstreamVersion &target, TimePoint startedAt)
{
    auto now = this->dependencies.clock.now();
    auto known = this->rollouts.find(pool);
    if (known != this->rollouts.end()) {
        if (known->second.phase != RolloutPhase::Completed) {
            this->blockedVersions[pool].insert(known->second.target);
        }
        this->rollouts.erase(known);
    }
    this->dependencies.registry.setReplacement(pool, std::nullopt);
    this->blockedVersions[pool].erase(target);
    Rollout rollout(RolloutEvidence(this->dependencies.clock, this->process), RolloutExposure(this->limits, this->dependencies.fleet.nodeCount(), now));
    rollout.order = order;
    rollout.pool = pool;
    rollout.target = target;
    rollout.startedAt = startedAt;
    rollout.endsAt = TimePoint::max();
    rollout.stageBeganAt = now;
    rollout.phaseBeganAt = now;
    auto &entry = this->rollouts.emplace(pool, std::move(rollout)).first->second;
    entry.nextWriteAt = now + this->writeDelay(entry);
    this->versionsDueAt = now;
    this->reportDueAt = std::min(this->reportDueAt, now);
    this->isChanged = true;
    auto status = this->statuses.find(pool);
    if (status != this->statuses.end() && status->second.order == order) {
        entry.isRunningReported = true;
        if (isFinal(status->second.state)) {
            this->applyFinalState(entry, status->second.state);
        }
    }
    return entry;
}

void RolloutController::applyOrder(const RolloutOrder &order)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto known = this->rollouts.find(order.pool);
        if (known != this->rollouts.end() && this->isKnownOrder(known->second, order)) {
            known->second.era = std::max(known->second.era, order.era);
            return;
        }
        auto isKnown = known != this->rollouts.end() && known->second.order == order.id;
        auto &rollout = isKnown ? known->second : this->beginRollout(order.pool, order.id, order.target, order.readAt);
        rollout.isOrderKnown = true;
        rollout.era = order.era;
        rollout.startedAt = std::min(rollout.startedAt, order.readAt);
        rollout.endsAt = rollout.startedAt + (order.endsAt - order.readAt);
        this->dependencies.events.write("rollout_order",
                                        { { "pool", order.pool.value() },
                                          { "version", order.target.value() },
                                          { "order", order.id.value() },
                                          { "time_left_ms", std::chrono::duration_cast<milliseconds>(rollout.endsAt - order.readAt).count() } });
    }
    this->notifyListener();
}

bool RolloutController::isKnownOrder(const Rollout &rollout, const RolloutOrder &order)
{
    // After a restoration of the store the operator writes the order again, at another offset. A version that was rolled back must not be tried again.
    auto isWrittenAgain = order.era > rollout.era && rollout.isOrderKnown && order.target == rollout.target;
    return isWrittenAgain || order.id < rollout.order;
}

void RolloutController::applyStatus(const RolloutStatus &status)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->statuses[status.pool] = status;
        auto known = this->rollouts.find(status.pool);
        if (known != this->rollouts.end() && known->second.order == status.order) {
            known->second.isRunningReported = true;
            if (isFinal(status.state)) {
                this->applyFinalState(known->second, status.state);
            }
        } else if (known == this->rollouts.end() || known->second.target != status.target) {
            auto &blocked = this->blockedVersions[status.pool];
            if (status.state == RolloutState::Completed) {
                blocked.erase(status.target);
                auto established = this->establishedVersions.find(status.pool);
                if (established != this->establishedVersions.end()) {
                    established->second.insert(status.target);
                }
            } else {
                // Until this node learns of the order of a running roll-out, it sends nothing to the version.
                blocked.insert(status.target);
            }
        }
        this->dependencies.events.write("rollout_status",
                                        { { "pool", status.pool.value() },
                                          { "version", status.target.value() },
                                          { "state", static_cast<int>(status.state) },
                                          { "order", status.order ? status.order->value() : 0 } });
    }
    this->notifyListener();
}

void RolloutController::setPhase(Rollout &rollout, RolloutPhase phase, const std::string &reason)
{
    auto now = this->dependencies.clock.now();
    rollout.phase = phase;
    rollout.phaseBeganAt = now;
    rollout.reason = reason;
    rollout.nextWriteAt = now + this->writeDelay(rollout);
    if (phase == RolloutPhase::RolledBack) {
        this->blockedVersions[rollout.pool].insert(rollout.target);
        this->dependencies.registry.setReplacement(rollout.pool, std::nullopt);
    } else {
        this->dependencies.registry.setReplacement(rollout.pool, rollout.target);
    }
    this->reportDueAt = now;
    this->relayReportDueAt = now;
    this->isChanged = true;
    auto sum = targetSum(rollout.evidence.all());
    this->dependencies.events.write("rollout_phase",
                                    { { "pool", rollout.pool.value() },
                                      { "version", rollout.target.value() },
                                      { "order", rollout.order.value() },
                                      { "phase", phaseName(phase) },
                                      { "reason", reason },
                                      { "stage", rollout.stage },
                                      { "exposed", rollout.exposedRequests },
                                      { "requests", rollout.requests },
                                      { "responses", sum.responses },
                                      { "failures", sum.failures },
                                      { "slow", sum.slowStarts },
                                      { "slow_streams", sum.slowPaces } });
}

void RolloutController::applyFinalState(Rollout &rollout, RolloutState state)
{
    if (rollout.finalState == state) {
        return;
    }
    auto phase = state == RolloutState::Completed ? RolloutPhase::Completed : RolloutPhase::RolledBack;
    if (rollout.phase != phase) {
        this->setPhase(rollout, phase, "reported in the store");
    }
    rollout.finalState = state;
    if (state == RolloutState::Completed) {
        this->blockedVersions[rollout.pool].erase(rollout.target);
        this->establishedVersions[rollout.pool] = { rollout.target };
    }
}

void RolloutController::notifyListener()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        if (!this->isChanged) {
            return;
        }
        this->isChanged = false;
    }
    if (auto *current = this->listener.load()) {
        current->rolloutChanged();
    }
}

void RolloutController::updateVersions()
{
    const auto &sync = this->dependencies.sync;
    if (!sync.hasUpstreams() || !sync.hasOrders() || !sync.hasReports()) {
        return;
    }
    for (const auto &[pool, versions] : this->dependencies.registry.versionCounts()) {
        auto rollout = this->rollouts.find(pool);
        const auto &blocked = this->blockedVersions[pool];
        auto isNamed = [&](const UpstreamVersion &version) {
            return blocked.contains(version)
                || (rollout != this->rollouts.end() && rollout->second.target == version && rollout->second.finalState != RolloutState::Completed);
        };
        auto isFirst = !this->establishedVersions.contains(pool);
        auto &established = this->establishedVersions[pool];
        auto hasUsable = std::any_of(versions.begin(), versions.end(), [&](const auto &version) {
            return version.second.usable > 0 && established.contains(version.first) && !isNamed(version.first);
        });
        for (const auto &[version, count] : versions) {
            // Without any usable upstream the pool would be lost to a change of versions that nobody ordered.
            auto isAdopted = isFirst || (!hasUsable && count.usable > 0);
            if (isAdopted && !isNamed(version) && established.insert(version).second) {
                this->dependencies.events.write("rollout_version_in_use", { { "pool", pool.value() }, { "version", version.value() } });
            }
        }
    }
}

void RolloutController::chooseTargets(Rollout &rollout)
{
    const auto upstreams = this->dependencies.registry.usableUpstreams(rollout.pool);
    auto isNear
        = [&](const UpstreamRecord &record) { return this->location.regionOf(record.failureDomain) == this->location.regionOf(this->location.failureDomain); };
    auto hasNear = std::any_of(upstreams.begin(), upstreams.end(), isNear);
    std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
    std::size_t others = 0;
    for (const auto &record : upstreams) {
        // Upstreams of other regions answer later, and would look slow beside the others' responses.
        if (hasNear && !isNear(record)) {
            continue;
        }
        if (record.version == rollout.target) {
            ranked.emplace_back(rankScore(record.id.value(), std::to_string(rollout.order.value())), record.id);
        } else {
            ++others;
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    // As many as carry about the load of an upstream of another version each.
    auto count = std::max<std::size_t>(1, static_cast<std::size_t>(rollout.exposure.shareOf(rollout.stage) * static_cast<double>(others)));
    rollout.targets.clear();
    for (std::size_t position = 0; position < std::min(count, ranked.size()); ++position) {
        rollout.targets.insert(ranked[position].second);
    }
}

bool RolloutController::isTargetAlone(const Rollout &rollout) const
{
    const auto &sync = this->dependencies.sync;
    if (!sync.hasUpstreams() || !sync.hasReports()) {
        return false;
    }
    auto counts = this->dependencies.registry.versionCounts();
    auto versions = counts.find(rollout.pool);
    auto blocked = this->blockedVersions.find(rollout.pool);
    if (versions == counts.end() || !versions->second.contains(rollout.target) || versions->second.at(rollout.target).usable == 0) {
        return false;
    }
    return std::all_of(versions->second.begin(), versions->second.end(), [&](const auto &version) {
        auto isBlocked = blocked != this->blockedVersions.end() && blocked->second.contains(version.first);
        return version.first == rollout.target || isBlocked;
    });
}

std::uint64_t RolloutController::localBaselineRuns(const Rollout &rollout) const
{
    if (rollout.phase == RolloutPhase::Exposing) {
        return 0;
    }
    auto others = this->dependencies.registry.upstreamsOfOtherVersions(rollout.pool, rollout.target);
    std::uint64_t runs = 0;
    for (const auto &report : this->dependencies.loads.localReports()) {
        runs += others.contains(report.upstreamHash) ? report.load.runs : 0;
    }
    return runs;
}

void RolloutController::advance(Rollout &rollout)
{
    auto now = this->dependencies.clock.now();
    auto totals = rollout.evidence.all();
    this->updateMetrics(rollout, totals);
    if (rollout.finalState || rollout.phase >= RolloutPhase::Completed) {
        return;
    }
    // While all new work goes to the target version, the versions have different loads.
    rollout.verdict.update(totals, rollout.phase == RolloutPhase::Exposing, now);
    if (rollout.verdict.rejection()) {
        this->setPhase(rollout, RolloutPhase::RolledBack, *rollout.verdict.rejection());
    } else if (rollout.isOrderKnown && rollout.phase == RolloutPhase::Exposing) {
        this->advanceExposing(rollout, totals);
    } else if (rollout.isOrderKnown) {
        this->advancePromoting(rollout);
    }
}

void RolloutController::advanceExposing(Rollout &rollout, const RolloutTotals &totals)
{
    auto now = this->dependencies.clock.now();
    auto time = rollout.endsAt - rollout.startedAt;
    auto after = [&](double part) { return rollout.startedAt + std::chrono::duration_cast<Duration>(part * std::chrono::duration<double>(time)); };
    if (this->isTargetAlone(rollout)) {
        this->setPhase(rollout, RolloutPhase::Completed, "the version is already in use");
        return;
    }
    if (now >= rollout.endsAt) {
        this->setPhase(rollout, RolloutPhase::RolledBack, "the time of the order has passed");
        return;
    }
    // A node without contact knows only a part of the evidence, so it doesn't decide by a lack of it.
    if (!this->hasContact(rollout)) {
        return;
    }
    auto isUnsuspected = rollout.verdict.isUnsuspected();
    if (now >= after(promotionPart) && isUnsuspected && RolloutVerdict::isSufficient(totals, responsesPerRoute, responsesInAll)) {
        this->setPhase(rollout, RolloutPhase::Promoting, "the responses are as good as those of the other versions");
        return;
    }
    if (now >= after(latestPromotionPart)) {
        auto isSufficient = isUnsuspected && RolloutVerdict::isSufficient(totals, lateResponsesPerRoute, lateResponsesInAll);
        this->setPhase(rollout,
                       isSufficient ? RolloutPhase::Promoting : RolloutPhase::RolledBack,
                       isSufficient ? "few responses, as good as those of the other versions" : "not enough good responses before the end of the time");
        return;
    }
    auto responses = targetSum(totals).responses;
    if (rollout.stage < RolloutExposure::lastStage && isUnsuspected && now >= rollout.stageBeganAt + minimumStageTime
        && responses >= rollout.stageResponses + minimumStageResponses) {
        ++rollout.stage;
        rollout.stageBeganAt = now;
        rollout.stageResponses = responses;
        this->dependencies.events.write("rollout_stage",
                                        { { "pool", rollout.pool.value() },
                                          { "version", rollout.target.value() },
                                          { "stage", rollout.stage },
                                          { "share", rollout.exposure.shareOf(rollout.stage) },
                                          { "responses", responses } });
    }
}

void RolloutController::advancePromoting(Rollout &rollout)
{
    auto now = this->dependencies.clock.now();
    auto coverage = rollout.evidence.coverage();
    auto isIdle = this->localBaselineRuns(rollout) == 0 && coverage.baselineRuns == 0 && coverage.nodeCount + 1 >= this->dependencies.fleet.nodeCount();
    rollout.idleSince = isIdle ? std::optional<TimePoint>(rollout.idleSince.value_or(now)) : std::nullopt;
    auto margin = std::clamp<Duration>((rollout.endsAt - rollout.startedAt) / completionMarginDivisor, minimumCompletionMargin, maximumCompletionMargin);
    auto hasBeenIdle = rollout.idleSince && now >= *rollout.idleSince + minimumIdleTime && now >= rollout.phaseBeganAt + minimumPromotionTime;
    if (hasBeenIdle || now >= rollout.endsAt - margin) {
        this->setPhase(rollout, RolloutPhase::Completed, hasBeenIdle ? "the other versions are idle" : "the end of the time is near");
    }
}

void RolloutController::updateMetrics(const Rollout &rollout, const RolloutTotals &totals)
{
    auto sum = targetSum(totals);
    auto set = [&](const char *name, std::uint64_t value) {
        auto series = fmt::format("lovageward_rollout_{}{{pool=\"{}\",version=\"{}\"}}", name, rollout.pool.value(), rollout.target.value());
        this->dependencies.counters.counter(series).set(static_cast<std::int64_t>(value));
    };
    set("phase", static_cast<std::uint64_t>(rollout.phase));
    set("stage", rollout.stage);
    set("requests", rollout.requests);
    set("exposed_requests", rollout.exposedRequests);
    set("fleet_responses", sum.responses);
    set("fleet_failures", sum.failures);
    set("fleet_slow_responses", sum.slowStarts);
    set("fleet_slow_streams", sum.slowPaces);
}

TimePoint RolloutController::step()
{
    std::vector<RolloutStatus> writes;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto now = this->dependencies.clock.now();
        auto areVersionsDue = now >= this->versionsDueAt;
        if (areVersionsDue) {
            this->versionsDueAt = now + versionInterval;
            this->updateVersions();
        }
        for (auto &[pool, rollout] : this->rollouts) {
            if (areVersionsDue && rollout.phase == RolloutPhase::Exposing) {
                this->chooseTargets(rollout);
            }
            this->advance(rollout);
            if (auto status = this->takeDueWrite(rollout)) {
                writes.push_back(std::move(*status));
            }
        }
    }
    this->notifyListener();
    for (const auto &status : writes) {
        this->write(status);
    }
    return this->dependencies.clock.now() + stepInterval;
}

std::optional<RolloutPhase> RolloutController::phase(const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->rollouts.find(pool);
    return found == this->rollouts.end() ? std::nullopt : std::optional<RolloutPhase>(found->second.phase);
}

}
