#include "Ledger.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>

namespace Lovageward::Soak {

namespace {

/** Rules with a time bound hold from so long after a fault (the platform's bound on contact). */
constexpr Duration recoveryTime = seconds(4);
/** No new work reaches an upstream so long after its drain (the platform's bound on drains). */
constexpr Duration drainLimit = milliseconds(2500);

/** The platform's bounds on work for cold upstreams and on repeats. */
constexpr double coldFactor = 1.5;
constexpr double coldSlack = 5;
constexpr double repeatRatio = 0.2;
constexpr double repeatSlack = 50;

constexpr auto kindNames = std::to_array<std::string_view>({ "booking", "lookup", "plan", "draft", "unknown key" });

bool mayRunOnce(RequestKind kind)
{
    return kind == RequestKind::Booking || kind == RequestKind::Plan;
}

}

std::string_view kindName(RequestKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::size_t Ledger::faultBegins()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.push_back({ this->clock.now(), std::nullopt });
    return this->faults.size() - 1;
}

void Ledger::faultEnds(std::size_t number)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->faults.at(number).end = this->clock.now() + recoveryTime;
}

void Ledger::runStarted(const std::string &upstream, const std::string &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->runsOf[request].push_back(upstream);
    auto drain = this->drainedAt.find(upstream);
    auto now = this->clock.now();
    for (auto &cold : this->colds) {
        cold.runs += cold.upstream == upstream && now < cold.until ? 1 : 0;
    }
    if (drain != this->drainedAt.end() && now > drain->second + drainLimit) {
        this->lateRuns.push_back({ upstream, drain->second, now });
    }
}

void Ledger::runContinued()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    ++this->continuations;
}

void Ledger::refusedByUpstream(const std::string &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    ++this->refusals[request];
}

void Ledger::coldBegins(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->colds.push_back({ upstream, this->clock.now() + coldTime, 0 });
}

void Ledger::answered(const Outcome &outcome)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->outcomes.push_back(outcome);
    if (!outcome.defect.empty()) {
        this->add(fmt::format("{} {}: {}", kindName(outcome.kind), outcome.request, outcome.defect));
    }
    constexpr int unauthorized = 401;
    if (outcome.kind == RequestKind::Unknown && outcome.status / 100 == 2) {
        this->add(fmt::format("{}: a key that no team has was served", outcome.request));
    }
    if (outcome.kind != RequestKind::Unknown && outcome.status == unauthorized) {
        this->add(fmt::format("{}: a team's key was refused", outcome.request));
    }
}

void Ledger::drained(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drainedAt[upstream] = this->clock.now();
}

void Ledger::drainEnded(const std::string &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drainedAt.erase(upstream);
}

void Ledger::configInForce(const std::string &life, std::uint64_t version)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &newest = this->versions[life];
    if (version < newest) {
        this->add(fmt::format("{}: configuration {} came into force after {}", life, version, newest));
    }
    newest = std::max(newest, version);
}

void Ledger::reportLate(const std::string &violation)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->lateViolations.insert(violation);
}

Ledger::Verdict Ledger::finish()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    for (const auto &outcome : this->outcomes) {
        auto runs = this->runsOf.contains(outcome.request) ? this->runsOf[outcome.request].size() : 0;
        if (mayRunOnce(outcome.kind) && runs > 1) {
            this->add(fmt::format("{} {}: ran {} times at {}", kindName(outcome.kind), outcome.request, runs, fmt::join(this->runsOf[outcome.request], ", ")));
        }
        if (outcome.saysNotRun && runs > 0) {
            this->add(fmt::format(
                "{} {}: was said not to have run, and ran at {}", kindName(outcome.kind), outcome.request, fmt::join(this->runsOf[outcome.request], ", ")));
        }
        if (outcome.kind == RequestKind::Unknown && runs > 0) {
            this->add(fmt::format("{}: a request without a team's key ran", outcome.request));
        }
        this->checkPlannedWork(outcome);
    }
    for (const auto &late : this->lateRuns) {
        if (this->isCalm(late.drainedAt, late.at)) {
            this->lateViolations.insert(fmt::format("{}: new work {} ms after its drain", late.upstream, toMilliseconds(TimePoint(late.at - late.drainedAt))));
        }
    }
    for (const auto &cold : this->colds) {
        auto bound = coldFactor * coldRequestsPerSecond * std::chrono::duration<double>(coldTime).count() + coldSlack;
        if (static_cast<double>(cold.runs) > bound) {
            this->lateViolations.insert(fmt::format("{}: {} runs while cold, allowed are {:.0f}", cold.upstream, cold.runs, bound));
        }
    }
    this->checkRepeats();
    return { { this->violations.begin(), this->violations.end() }, { this->lateViolations.begin(), this->lateViolations.end() } };
}

std::string Ledger::summary() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto whole = std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const Outcome &outcome) { return outcome.isWhole; });
    auto refused = std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const Outcome &outcome) { return outcome.saysNotRun; });
    return fmt::format(
        "{} requests, {} whole answers, {} refused before they ran, {} runs continued elsewhere", this->outcomes.size(), whole, refused, this->continuations);
}

bool Ledger::isCalm(TimePoint from, TimePoint to) const
{
    return std::none_of(
        this->faults.begin(), this->faults.end(), [&](const Interval &fault) { return fault.begin <= to && (!fault.end || *fault.end >= from); });
}

void Ledger::checkRepeats()
{
    std::size_t sends = 0;
    std::size_t sent = 0;
    for (const auto &outcome : this->outcomes) {
        auto here = (this->runsOf.contains(outcome.request) ? this->runsOf[outcome.request].size() : 0) + this->refusals[outcome.request];
        sends += here;
        sent += here > 0 ? 1 : 0;
    }
    auto bound = repeatRatio * static_cast<double>(this->outcomes.size()) + repeatSlack;
    if (static_cast<double>(sends - sent) > bound) {
        this->add(fmt::format("{} repeats for {} requests, allowed are {:.0f}", sends - sent, this->outcomes.size(), bound));
    }
}

void Ledger::checkPlannedWork(const Outcome &outcome)
{
    if (outcome.isWhole || outcome.saysNotRun || outcome.kind == RequestKind::Unknown || !this->isCalm(outcome.sentAt, outcome.endedAt)) {
        return;
    }
    // A request on a connection that the node was closing, or on one to a node that had ended, was never read by a node.
    auto wasRead = outcome.status != 0 || this->runsOf.contains(outcome.request);
    if (wasRead) {
        this->lateViolations.insert(fmt::format("{} {}: no whole answer (status {}) although only planned work was done, sent {} ms, ended {} ms",
                                                kindName(outcome.kind),
                                                outcome.request,
                                                outcome.status,
                                                toMilliseconds(outcome.sentAt),
                                                toMilliseconds(outcome.endedAt)));
    }
}

void Ledger::add(const std::string &violation)
{
    this->violations.insert(violation);
}

}
