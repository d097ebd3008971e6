#include <LibGateway/RolloutEvidence.h>

#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** A response that takes longer than the median by this factor is slow. Versions that count as bad take several times longer. */
constexpr int slowFactor = 2;

/** Added to the limit of the time to a response, because the distance between failure domains adds a few milliseconds. */
constexpr Duration startTolerance = milliseconds(5);
constexpr Duration paceTolerance = milliseconds(1);

/** Time after which a report no longer describes the current runs of its sender. Two lost digests don't reach it. */
constexpr Duration coverageLifetime = seconds(3);

/** Stands for all routes beyond the limit of routes that are counted separately. */
constexpr std::uint64_t otherRoutes = 0;

void addTo(RolloutTotals &sum, const RolloutTotals &totals)
{
    for (const auto &[route, counts] : totals) {
        sum[route].target += counts.target;
        sum[route].baseline += counts.baseline;
    }
}

void raise(RolloutTotals &known, const RolloutTotals &totals)
{
    for (const auto &[route, counts] : totals) {
        known[route].target.raiseTo(counts.target);
        known[route].baseline.raiseTo(counts.baseline);
    }
}

}

RolloutCounts &RolloutCounts::operator+=(const RolloutCounts &other)
{
    this->responses += other.responses;
    this->failures += other.failures;
    this->starts += other.starts;
    this->slowStarts += other.slowStarts;
    this->paces += other.paces;
    this->slowPaces += other.slowPaces;
    return *this;
}

void RolloutCounts::raiseTo(const RolloutCounts &other)
{
    this->responses = std::max(this->responses, other.responses);
    this->failures = std::max(this->failures, other.failures);
    this->starts = std::max(this->starts, other.starts);
    this->slowStarts = std::max(this->slowStarts, other.slowStarts);
    this->paces = std::max(this->paces, other.paces);
    this->slowPaces = std::max(this->slowPaces, other.slowPaces);
}

std::uint64_t RolloutEvidence::hashRoute(const RouteId &route)
{
    // 32 bits, so that a report of eight routes stays small.
    return (XXH64(route.value().data(), route.value().size(), 0) >> 32U) | 1U;
}

RouteCounts &RolloutEvidence::countsOf(std::uint64_t route)
{
    // One place is left for the routes that are counted together.
    auto isSeparate = this->ownTotals.contains(route) || this->ownTotals.size() + 1 < maximumRolloutRoutes;
    return this->ownTotals[isSeparate ? route : otherRoutes];
}

RolloutCounts &RolloutEvidence::countsOf(const RouteId &route, RolloutSide side)
{
    auto &counts = this->countsOf(hashRoute(route));
    return side == RolloutSide::Target ? counts.target : counts.baseline;
}

void RolloutEvidence::recordStart(const RouteId &route, RolloutSide side, Duration latency, bool judgesLatency)
{
    auto &counts = this->countsOf(route, side);
    ++counts.responses;
    if (!judgesLatency) {
        return;
    }
    auto &reference = this->references[hashRoute(route)].first;
    auto now = this->clock.now();
    if (auto median = reference.median(now)) {
        ++counts.starts;
        counts.slowStarts += latency > slowFactor * *median + startTolerance ? 1 : 0;
    }
    if (side == RolloutSide::Baseline) {
        reference.record(latency, now);
    }
}

void RolloutEvidence::recordPace(const RouteId &route, RolloutSide side, Duration interval, bool judgesLatency)
{
    if (!judgesLatency) {
        return;
    }
    auto &counts = this->countsOf(route, side);
    auto &reference = this->references[hashRoute(route)].second;
    auto now = this->clock.now();
    if (auto median = reference.median(now)) {
        ++counts.paces;
        counts.slowPaces += interval > slowFactor * *median + paceTolerance ? 1 : 0;
    }
    if (side == RolloutSide::Baseline) {
        reference.record(interval, now);
    }
}

void RolloutEvidence::recordFailure(const RouteId &route, RolloutSide side)
{
    auto &counts = this->countsOf(route, side);
    ++counts.responses;
    ++counts.failures;
}

void RolloutEvidence::recordAbandoned(const RouteId &route, RolloutSide side, Duration waited)
{
    auto median = this->references[hashRoute(route)].first.median(this->clock.now());
    if (median && waited > slowFactor * *median + startTolerance) {
        auto &counts = this->countsOf(route, side);
        ++counts.starts;
        ++counts.slowStarts;
    }
}

void RolloutEvidence::mergeInto(Source &source, const RolloutReport &report, TimePoint now)
{
    raise(source.totals, report.totals);
    source.coverage = Coverage { report.nodeCount, report.baselineRuns };
    source.reportedAt = now;
}

void RolloutEvidence::merge(const RolloutReport &report, const FailureDomainId &domain)
{
    auto now = this->clock.now();
    if (report.scope == RolloutScope::Process) {
        if (report.process != this->process) {
            mergeInto(this->processes[report.process], report, now);
        }
        return;
    }
    mergeInto(report.scope == RolloutScope::Domain ? this->domains[domain] : this->otherDomains, report, now);
    this->remoteReportedAt = now;
}

RolloutTotals RolloutEvidence::group() const
{
    auto sum = this->ownTotals;
    for (const auto &[id, source] : this->processes) {
        addTo(sum, source.totals);
    }
    return sum;
}

RolloutTotals RolloutEvidence::reportedDomains() const
{
    RolloutTotals sum;
    for (const auto &[domain, source] : this->domains) {
        addTo(sum, source.totals);
    }
    return sum;
}

RolloutTotals RolloutEvidence::all() const
{
    auto remote = this->reportedDomains();
    raise(remote, this->otherDomains.totals);
    auto sum = this->group();
    addTo(sum, remote);
    return sum;
}

template<typename Sources>
RolloutEvidence::Coverage RolloutEvidence::sumCoverage(const Sources &sources) const
{
    Coverage sum;
    for (const auto &[id, source] : sources) {
        if (this->clock.now() < source.reportedAt + coverageLifetime) {
            sum.nodeCount += source.coverage.nodeCount;
            sum.baselineRuns += source.coverage.baselineRuns;
        }
    }
    return sum;
}

RolloutEvidence::Coverage RolloutEvidence::groupCoverage() const
{
    return this->sumCoverage(this->processes);
}

RolloutEvidence::Coverage RolloutEvidence::domainCoverage() const
{
    return this->sumCoverage(this->domains);
}

RolloutEvidence::Coverage RolloutEvidence::coverage() const
{
    auto sum = this->groupCoverage();
    auto remote = this->domainCoverage();
    if (this->clock.now() < this->otherDomains.reportedAt + coverageLifetime && this->otherDomains.coverage.nodeCount > remote.nodeCount) {
        remote = this->otherDomains.coverage;
    }
    return Coverage { sum.nodeCount + remote.nodeCount, sum.baselineRuns + remote.baselineRuns };
}

std::size_t RolloutEvidence::liveDomainCount() const
{
    auto now = this->clock.now();
    return static_cast<std::size_t>(
        std::count_if(this->domains.begin(), this->domains.end(), [&](const auto &domain) { return now < domain.second.reportedAt + coverageLifetime; }));
}

RolloutCounts targetSum(const RolloutTotals &totals)
{
    RolloutCounts sum;
    for (const auto &[route, counts] : totals) {
        sum += counts.target;
    }
    return sum;
}

}
