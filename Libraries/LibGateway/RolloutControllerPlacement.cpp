#include <LibGateway/RolloutController.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Connections that an upstream loses within this time after the first one belong to the same crash and count once. */
constexpr Duration crashTime = seconds(2);

}

bool RolloutController::hasContact(const Rollout &rollout) const
{
    auto lifetime = std::min<Duration>(contactLifetime, this->limits.rollbackTime * 3 / 5);
    auto now = this->dependencies.clock.now();
    if (!rollout.isOrderKnown || !this->dependencies.sync.hasReports() || now >= rollout.endsAt || now >= rollout.lastPeerReportAt + lifetime) {
        return false;
    }
    return !this->dependencies.fleet.isHierarchical() || now < rollout.evidence.lastRemoteReportAt() + lifetime;
}

VersionFilter RolloutController::filterFor(const PoolId &pool) const
{
    VersionFilter filter;
    auto blocked = this->blockedVersions.find(pool);
    if (blocked != this->blockedVersions.end()) {
        filter.blocked = blocked->second;
    }
    auto rollout = this->rollouts.find(pool);
    if (rollout != this->rollouts.end() && rollout->second.finalState != RolloutState::Completed) {
        filter.blocked.insert(rollout->second.target);
    }
    auto established = this->establishedVersions.find(pool);
    if (established != this->establishedVersions.end()) {
        filter.allowed = established->second;
    }
    return filter;
}

VersionRule RolloutController::beginPlacement(const PoolId &pool, const RouteId &route, bool isFirstAttempt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    VersionRule rule;
    rule.filter = this->filterFor(pool);
    auto found = this->rollouts.find(pool);
    if (found == this->rollouts.end() || found->second.finalState || !this->hasContact(found->second)) {
        return rule;
    }
    auto &rollout = found->second;
    if (rollout.phase == RolloutPhase::Promoting || rollout.phase == RolloutPhase::Completed) {
        rule.target = TargetSelection { rollout.target, {} };
    } else if (rollout.phase == RolloutPhase::Exposing && isFirstAttempt && !rollout.targets.empty()) {
        // A request of a route with enough responses leaves the budget to a route that lacks them.
        const auto &own = rollout.evidence.own();
        auto counts = own.find(RolloutEvidence::hashRoute(route));
        auto isScarce = counts == own.end() || counts->second.target.responses == 0;
        auto hasScarceRoute = std::any_of(own.begin(), own.end(), [](const auto &entry) { return entry.second.target.responses == 0; });
        if (rollout.exposure.tryTake(this->dependencies.clock.now(), !isScarce && hasScarceRoute)) {
            rule.target = TargetSelection { rollout.target, rollout.targets };
            rule.isExposure = true;
        }
    }
    return rule;
}

void RolloutController::cancelExposure(const PoolId &pool)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->rollouts.find(pool);
    if (found != this->rollouts.end()) {
        found->second.exposure.giveBack();
    }
}

VersionFilter RolloutController::copyFilter(const PoolId &pool, const UpstreamRecord &runner) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->rollouts.find(pool);
    if (found != this->rollouts.end() && !found->second.finalState && found->second.phase >= RolloutPhase::Promoting
        && found->second.phase != RolloutPhase::RolledBack && this->hasContact(found->second) && runner.version != found->second.target) {
        VersionFilter filter;
        filter.allowed = std::set<UpstreamVersion> { found->second.target };
        return filter;
    }
    return this->filterFor(pool);
}

bool RolloutController::mayContinueOn(const UpstreamRecord &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->filterFor(upstream.pool).allows(upstream.version)) {
        return true;
    }
    auto found = this->rollouts.find(upstream.pool);
    auto isPromoted = found != this->rollouts.end() && !found->second.finalState && found->second.target == upstream.version
        && (found->second.phase == RolloutPhase::Promoting || found->second.phase == RolloutPhase::Completed);
    return isPromoted && this->hasContact(found->second);
}

std::unique_ptr<RolloutObservation> RolloutController::observe(const RouteId &route, const UpstreamRecord &upstream, bool isFirstAttempt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->rollouts.find(upstream.pool);
    if (found == this->rollouts.end() || found->second.finalState) {
        return nullptr;
    }
    auto &rollout = found->second;
    auto isTarget = upstream.version == rollout.target;
    if (isFirstAttempt) {
        ++rollout.requests;
        rollout.exposure.addRequest(rollout.stage);
    }
    rollout.exposedRequests += isTarget ? 1 : 0;
    auto now = this->dependencies.clock.now();
    ObservedRun run {
        upstream.pool, rollout.order, route, upstream.id, isTarget ? RolloutSide::Target : RolloutSide::Baseline, now >= upstream.coldUntil, now
    };
    return std::make_unique<RolloutObservation>(this->dependencies.clock, *this, std::move(run));
}

RolloutController::Rollout *RolloutController::findRun(const ObservedRun &run)
{
    auto found = this->rollouts.find(run.pool);
    return found != this->rollouts.end() && found->second.order == run.order ? &found->second : nullptr;
}

void RolloutController::recordStart(const ObservedRun &run, Duration latency)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (auto *rollout = this->findRun(run)) {
        rollout->evidence.recordStart(run.route, run.side, latency, run.judgesLatency);
    }
}

void RolloutController::recordPace(const ObservedRun &run, Duration interval)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (auto *rollout = this->findRun(run)) {
        rollout->evidence.recordPace(run.route, run.side, interval, run.judgesLatency);
    }
}

void RolloutController::recordFailure(const ObservedRun &run, bool isConnectionLost)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto *rollout = this->findRun(run);
    if (rollout == nullptr) {
        return;
    }
    if (isConnectionLost) {
        auto now = this->dependencies.clock.now();
        auto &until = rollout->crashUntil[run.upstream];
        if (now < until) {
            return;
        }
        until = now + crashTime;
    }
    rollout->evidence.recordFailure(run.route, run.side);
}

void RolloutController::recordAbandoned(const ObservedRun &run, Duration waited)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (auto *rollout = this->findRun(run)) {
        rollout->evidence.recordAbandoned(run.route, run.side, waited);
    }
}

}
