#include <LibGateway/RolloutController.h>

#include <LibCore/Error.h>
#include <LibMembership/RendezvousHash.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Interval of the reports to the group: a report of four routes has about 150 bytes, so that 16 peers receive 2.5 KB/s from a node. */
constexpr Duration minimumReportInterval = milliseconds(250);

constexpr Duration reportIntervalPerPeer = milliseconds(60);

/** Interval of the reports between relays, which have two peers in each domain: at the group's interval a relay of 21 domains had 70 KB/s. */
constexpr Duration minimumRelayReportInterval = milliseconds(500);

constexpr Duration relayReportIntervalPerDomain = milliseconds(50);

/** Time after the end of an order for which peers still learn of it. */
constexpr Duration reportingTimeAfterEnd = seconds(10);

constexpr Duration boardCallTimeout = milliseconds(700);

constexpr Duration writeRetryDelay = milliseconds(400);

/** Delays by rank, so that usually one node writes a report. */
constexpr Duration delayPerHostRank = milliseconds(400);

constexpr Duration delayPerDomainRank = milliseconds(100);

constexpr Duration maximumWriteDelay = seconds(2);

}

RolloutReport RolloutController::makeReport(const Rollout &rollout, RolloutScope scope) const
{
    RolloutReport report;
    report.pool = rollout.pool;
    report.order = rollout.order;
    report.target = rollout.target;
    report.phase = rollout.phase;
    report.stage = rollout.stage;
    report.age = std::max<Duration>(Duration(0), this->dependencies.clock.now() - rollout.startedAt);
    report.scope = scope;
    report.process = this->process;
    auto ownRuns = this->localBaselineRuns(rollout);
    if (scope == RolloutScope::Process) {
        report.baselineRuns = ownRuns;
        report.totals = rollout.evidence.own();
        return report;
    }
    auto coverage = scope == RolloutScope::Domain ? rollout.evidence.groupCoverage() : rollout.evidence.domainCoverage();
    report.nodeCount = coverage.nodeCount + (scope == RolloutScope::Domain ? 1 : 0);
    report.baselineRuns = coverage.baselineRuns + (scope == RolloutScope::Domain ? ownRuns : 0);
    report.totals = scope == RolloutScope::Domain ? rollout.evidence.group() : rollout.evidence.reportedDomains();
    while (report.totals.size() > maximumRolloutRoutes) {
        report.totals.erase(std::prev(report.totals.end()));
    }
    return report;
}

DueRolloutReports RolloutController::takeDueReports(std::size_t groupPeers, bool isRelay)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    DueRolloutReports due;
    auto now = this->dependencies.clock.now();
    if (now < this->reportDueAt) {
        return due;
    }
    auto isRelayReportDue = isRelay && now >= this->relayReportDueAt;
    std::size_t domainCount = 0;
    for (const auto &[pool, rollout] : this->rollouts) {
        domainCount = std::max(domainCount, rollout.domains.size());
        if (rollout.finalState && now >= std::max(rollout.endsAt, rollout.phaseBeganAt) + reportingTimeAfterEnd) {
            continue;
        }
        due.group.push_back(this->makeReport(rollout, RolloutScope::Process));
        if (isRelayReportDue) {
            due.relays.push_back(this->makeReport(rollout, RolloutScope::Domain));
            if (rollout.evidence.liveDomainCount() > 0) {
                due.group.push_back(this->makeReport(rollout, RolloutScope::OtherDomains));
            }
        }
    }
    auto interval = std::max<Duration>(minimumReportInterval, reportIntervalPerPeer * static_cast<int>(groupPeers));
    if (isRelayReportDue) {
        this->relayReportDueAt = now + std::max<Duration>(minimumRelayReportInterval, relayReportIntervalPerDomain * static_cast<int>(domainCount));
    }
    this->reportDueAt = due.group.empty() ? TimePoint::max() : now + interval;
    return due;
}

TimePoint RolloutController::nextReportAt() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->reportDueAt;
}

void RolloutController::receiveReport(const HostId &peer, const FailureDomainId &domain, const RolloutReport &report)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto now = this->dependencies.clock.now();
        auto found = this->rollouts.find(report.pool);
        if (found != this->rollouts.end() && found->second.order > report.order) {
            return;
        }
        auto isKnown = found != this->rollouts.end() && found->second.order == report.order;
        auto &rollout = isKnown ? found->second : this->beginRollout(report.pool, report.order, report.target, now);
        if (report.target != rollout.target) {
            return;
        }
        auto startedAt = now - report.age;
        if (startedAt < rollout.startedAt) {
            if (rollout.isOrderKnown) {
                rollout.endsAt -= rollout.startedAt - startedAt;
            }
            rollout.startedAt = startedAt;
        }
        rollout.lastPeerReportAt = now;
        rollout.hosts[peer] = now;
        rollout.domains.insert(domain);
        rollout.evidence.merge(report, domain);
        auto stage = std::min(report.stage, RolloutExposure::lastStage);
        if (stage > rollout.stage) {
            rollout.stage = stage;
            rollout.stageBeganAt = now;
            rollout.stageResponses = targetSum(rollout.evidence.all()).responses;
        }
        if (report.phase > rollout.phase && !rollout.finalState) {
            this->setPhase(rollout, report.phase, fmt::format("reported by {}", peer.value()));
        }
    }
    this->notifyListener();
}

Duration RolloutController::writeDelay(const Rollout &rollout) const
{
    auto key = fmt::format("{}/{}", rollout.pool.value(), rollout.order.value());
    auto now = this->dependencies.clock.now();
    auto ownScore = RendezvousHash::score(this->host, key);
    auto hostRank = std::count_if(rollout.hosts.begin(), rollout.hosts.end(), [&](const auto &peer) {
        return now < peer.second + contactLifetime && RendezvousHash::score(peer.first, key) > ownScore;
    });
    auto ownDomainScore = rankScore(this->location.failureDomain.value(), key);
    auto domainRank
        = std::count_if(rollout.domains.begin(), rollout.domains.end(), [&](const auto &domain) { return rankScore(domain.value(), key) > ownDomainScore; });
    return std::min<Duration>(hostRank * delayPerHostRank + domainRank * delayPerDomainRank, maximumWriteDelay);
}

std::optional<RolloutStatus> RolloutController::takeDueWrite(Rollout &rollout)
{
    auto now = this->dependencies.clock.now();
    auto isEnded = rollout.phase >= RolloutPhase::Completed;
    auto isDue = !rollout.finalState && (isEnded || (rollout.isOrderKnown && !rollout.isRunningReported && this->dependencies.sync.hasReports()));
    if (!isDue || now < rollout.nextWriteAt) {
        return std::nullopt;
    }
    rollout.nextWriteAt = now + writeRetryDelay + this->writeDelay(rollout);
    auto state = RolloutState::Running;
    if (isEnded) {
        state = rollout.phase == RolloutPhase::Completed ? RolloutState::Completed : RolloutState::RolledBack;
    }
    return RolloutStatus { rollout.pool, rollout.target, state, rollout.order };
}

void RolloutController::write(const RolloutStatus &status)
{
    try {
        const auto &clock = this->dependencies.clock;
        auto newest = this->dependencies.board.readNewest(status.pool, clock.now() + boardCallTimeout);
        auto isNewer = newest.status && newest.status->order && *newest.status->order > *status.order;
        auto isDecided = newest.status && newest.status->order == status.order && (isFinal(newest.status->state) || newest.status->state == status.state);
        if (isNewer) {
            return;
        }
        if (!isDecided) {
            auto result = this->dependencies.board.writeAt(status, newest.end, clock.now() + boardCallTimeout);
            this->dependencies.events.write("rollout_status_written",
                                            { { "pool", status.pool.value() },
                                              { "version", status.target.value() },
                                              { "state", static_cast<int>(status.state) },
                                              { "at", newest.end },
                                              { "written", result == StatusWriteResult::Written } });
            if (result != StatusWriteResult::Written) {
                return;
            }
        }
        this->applyStatus(isDecided ? *newest.status : status);
    } catch (const Error &error) {
        this->dependencies.events.write("rollout_status_failed", { { "pool", status.pool.value() }, { "reason", error.what() } });
    }
}

}
