#include "InvariantChecker.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>

namespace Lovageward::Soak {

namespace {

/** Time after an unplanned fault in which timing rules aren't checked (the platform's bound on contact). */
constexpr Duration recoveryTime = seconds(4);
/** Time after the start of a drain within which nodes must stop sending requests to the upstream (the platform's bound on drains). */
constexpr Duration drainPropagationLimit = milliseconds(2500);

/** The platform's limits on requests to cold upstreams and on retries. */
constexpr double coldFactor = 1.5;
constexpr double coldSlack = 5;
/** Time after the first statement of a rate limit from which the limit is checked (the platform's bound on contact), and its tolerance. */
constexpr Duration rateLimitPropagationLimit = seconds(4);
constexpr Duration rateLimitWindow = seconds(4);
constexpr double rateLimitFactor = 1.5;
constexpr double rateLimitSlack = 5;
constexpr double retryRatio = 0.2;
constexpr double retrySlack = 50;

constexpr auto kindNames = std::to_array<std::string_view>({ "booking", "lookup", "plan", "draft", "unknown key" });

bool isNonIdempotent(RequestKind kind)
{
    return kind == RequestKind::Booking || kind == RequestKind::Plan;
}

}

std::string_view requestKindName(RequestKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::size_t InvariantChecker::recordFaultStart()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.push_back({ this->clock.now(), std::nullopt });
    return this->faults.size() - 1;
}

void InvariantChecker::recordFaultEnd(std::size_t number)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.at(number).end = this->clock.now() + recoveryTime;
}

void InvariantChecker::recordRun(const std::string &upstream, const std::string &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->upstreamsByRequest[request].push_back(upstream);
    this->countArrival(upstream);
    auto drain = this->drainStartByUpstream.find(upstream);
    auto now = this->clock.now();
    for (auto &cold : this->coldPeriods) {
        cold.runs += cold.upstream == upstream && now < cold.until ? 1 : 0;
    }
    if (drain != this->drainStartByUpstream.end() && now > drain->second + drainPropagationLimit) {
        this->runsAfterDrain.push_back({ upstream, drain->second, now });
    }
}

void InvariantChecker::recordContinuedRun(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->countArrival(upstream);
    ++this->continuedRuns;
}

void InvariantChecker::recordRateLimit(const std::string &upstream, double requestsPerSecond)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->rateLimitPeriods.push_back({ upstream, requestsPerSecond, this->clock.now(), false, {} });
}

void InvariantChecker::recordRateLimitEnd(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->endRateLimit(upstream);
}

void InvariantChecker::endRateLimit(const std::string &upstream)
{
    for (auto &period : this->rateLimitPeriods) {
        period.hasEnded = period.hasEnded || period.upstream == upstream;
    }
}

void InvariantChecker::countArrival(const std::string &upstream)
{
    for (auto &period : this->rateLimitPeriods) {
        if (period.upstream == upstream && !period.hasEnded) {
            period.arrivals.push_back(this->clock.now());
        }
    }
}

void InvariantChecker::recordUpstreamRefusal(const std::string &upstream, const std::string &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->countArrival(upstream);
    ++this->refusalsByRequest[request];
}

void InvariantChecker::recordColdStart(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->endRateLimit(upstream);
    this->coldPeriods.push_back({ upstream, this->clock.now() + coldDuration, 0 });
}

void InvariantChecker::recordOutcome(const RequestOutcome &outcome)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->outcomes.push_back(outcome);
    if (!outcome.responseDefect.empty()) {
        this->addViolation(fmt::format("{} {}: {}", requestKindName(outcome.kind), outcome.request, outcome.responseDefect));
    }
    constexpr int unauthorized = 401;
    if (outcome.kind == RequestKind::UnknownKey && outcome.status / 100 == 2) {
        this->addViolation(fmt::format("{}: a key that no team has was served", outcome.request));
    }
    if (outcome.kind != RequestKind::UnknownKey && outcome.status == unauthorized) {
        this->addViolation(fmt::format("{}: a team's key was refused", outcome.request));
    }
}

void InvariantChecker::recordDrainStart(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drainStartByUpstream[upstream] = this->clock.now();
}

void InvariantChecker::recordDrainEnd(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drainStartByUpstream.erase(upstream);
}

void InvariantChecker::recordAppliedConfig(const std::string &nodeProcess, std::uint64_t version)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &newest = this->configVersionByProcess[nodeProcess];
    if (version < newest) {
        this->addViolation(fmt::format("{}: configuration {} came into force after {}", nodeProcess, version, newest));
    }
    newest = std::max(newest, version);
}

void InvariantChecker::recordTimingViolation(const std::string &violation)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->timingViolations.insert(violation);
}

InvariantChecker::CheckResult InvariantChecker::check()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &outcome : this->outcomes) {
        auto runs = this->upstreamsByRequest.contains(outcome.request) ? this->upstreamsByRequest[outcome.request].size() : 0;
        if (isNonIdempotent(outcome.kind) && runs > 1) {
            this->addViolation(fmt::format(
                "{} {}: ran {} times at {}", requestKindName(outcome.kind), outcome.request, runs, fmt::join(this->upstreamsByRequest[outcome.request], ", ")));
        }
        if (outcome.isReportedNotRun && runs > 0) {
            this->addViolation(fmt::format("{} {}: was said not to have run, and ran at {}",
                                           requestKindName(outcome.kind),
                                           outcome.request,
                                           fmt::join(this->upstreamsByRequest[outcome.request], ", ")));
        }
        if (outcome.kind == RequestKind::UnknownKey && runs > 0) {
            this->addViolation(fmt::format("{}: a request without a team's key ran", outcome.request));
        }
        this->checkRequestWithoutFault(outcome);
    }
    for (const auto &run : this->runsAfterDrain) {
        if (this->isWithoutFault(run.drainStartedAt, run.startedAt)) {
            this->timingViolations.insert(
                fmt::format("{}: new work {} ms after its drain", run.upstream, toMilliseconds(TimePoint(run.startedAt - run.drainStartedAt))));
        }
    }
    for (const auto &cold : this->coldPeriods) {
        auto bound = coldFactor * coldRequestsPerSecond * std::chrono::duration<double>(coldDuration).count() + coldSlack;
        if (static_cast<double>(cold.runs) > bound) {
            this->timingViolations.insert(fmt::format("{}: {} runs while cold, allowed are {:.0f}", cold.upstream, cold.runs, bound));
        }
    }
    this->checkRetries();
    this->checkRateLimits();
    return { { this->violations.begin(), this->violations.end() }, { this->timingViolations.begin(), this->timingViolations.end() } };
}

std::string InvariantChecker::summarize() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto complete = std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const RequestOutcome &outcome) { return outcome.isComplete; });
    auto refused = std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const RequestOutcome &outcome) { return outcome.isReportedNotRun; });
    return fmt::format("{} requests, {} whole answers, {} refused before they ran, {} runs continued elsewhere",
                       this->outcomes.size(),
                       complete,
                       refused,
                       this->continuedRuns);
}

bool InvariantChecker::isWithoutFault(TimePoint from, TimePoint to) const
{
    return std::none_of(
        this->faults.begin(), this->faults.end(), [&](const FaultInterval &fault) { return fault.begin <= to && (!fault.end || *fault.end >= from); });
}

void InvariantChecker::checkRetries()
{
    std::size_t attempts = 0;
    std::size_t attemptedRequests = 0;
    for (const auto &outcome : this->outcomes) {
        auto requestAttempts = (this->upstreamsByRequest.contains(outcome.request) ? this->upstreamsByRequest[outcome.request].size() : 0)
            + this->refusalsByRequest[outcome.request];
        attempts += requestAttempts;
        attemptedRequests += requestAttempts > 0 ? 1 : 0;
    }
    auto bound = retryRatio * static_cast<double>(this->outcomes.size()) + retrySlack;
    if (static_cast<double>(attempts - attemptedRequests) > bound) {
        this->addViolation(fmt::format("{} repeats for {} requests, allowed are {:.0f}", attempts - attemptedRequests, this->outcomes.size(), bound));
    }
}

void InvariantChecker::checkRateLimits()
{
    for (const auto &period : this->rateLimitPeriods) {
        auto bound = rateLimitFactor * period.requestsPerSecond * std::chrono::duration<double>(rateLimitWindow).count() + rateLimitSlack;
        auto firstChecked = std::lower_bound(period.arrivals.begin(), period.arrivals.end(), period.statedAt + rateLimitPropagationLimit);
        for (auto begin = firstChecked; begin != period.arrivals.end(); ++begin) {
            auto count = std::upper_bound(begin, period.arrivals.end(), *begin + rateLimitWindow) - begin;
            if (static_cast<double>(count) > bound && this->isWithoutFault(*begin - rateLimitPropagationLimit, *begin + rateLimitWindow)) {
                this->timingViolations.insert(fmt::format("{}: more than {:.0f} requests in {} s although it states a rate limit of {} per second",
                                                          period.upstream,
                                                          bound,
                                                          rateLimitWindow / seconds(1),
                                                          period.requestsPerSecond));
            }
        }
    }
}

void InvariantChecker::checkRequestWithoutFault(const RequestOutcome &outcome)
{
    if (outcome.isComplete || outcome.isReportedNotRun || outcome.kind == RequestKind::UnknownKey || !this->isWithoutFault(outcome.sentAt, outcome.endedAt)) {
        return;
    }
    // No node read a request that was sent on a connection which the node was closing, or to a node that had exited.
    auto isReceived = outcome.status != 0 || this->upstreamsByRequest.contains(outcome.request);
    if (isReceived) {
        this->timingViolations.insert(fmt::format("{} {}: no whole answer (status {}) although only planned work was done, sent {} ms, ended {} ms",
                                                  requestKindName(outcome.kind),
                                                  outcome.request,
                                                  outcome.status,
                                                  toMilliseconds(outcome.sentAt),
                                                  toMilliseconds(outcome.endedAt)));
    }
}

void InvariantChecker::addViolation(const std::string &violation)
{
    this->violations.insert(violation);
}

}
