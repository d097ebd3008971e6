#include <LibGateway/LoadTracker.h>

#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

UpstreamLoad &UpstreamLoad::operator+=(const UpstreamLoad &other)
{
    this->runs += other.runs;
    this->peakTokens += other.peakTokens;
    this->pendingPrefillTokens += other.pendingPrefillTokens;
    this->decodingRuns += other.decodingRuns;
    return *this;
}

UpstreamLoad &UpstreamLoad::operator-=(const UpstreamLoad &other)
{
    this->runs -= std::min(this->runs, other.runs);
    this->peakTokens -= other.peakTokens;
    this->pendingPrefillTokens -= other.pendingPrefillTokens;
    this->decodingRuns -= std::min(this->decodingRuns, other.decodingRuns);
    return *this;
}

double Footprint::peakTokens(double produced) const
{
    auto output = std::max(this->expectedOutputTokens, produced);
    if (this->maximumOutputTokens > 0) {
        output = std::min(output, this->maximumOutputTokens);
    }
    return this->promptTokens + output;
}

RunId LoadTracker::addRun(const UpstreamId &upstream, const Footprint &footprint, RunKind kind)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    RunId number(++this->lastRunId);
    auto hasUnreadPrompt = kind == RunKind::Fresh;
    this->runs.emplace(number, Run { upstream, footprint, kind, 0, !hasUnreadPrompt });
    auto &load = this->localLoads[upstream];
    ++load.runs;
    load.peakTokens += footprint.peakTokens(0);
    load.pendingPrefillTokens += hasUnreadPrompt ? footprint.promptTokens : 0;
    load.decodingRuns += kind == RunKind::StandbyCopy ? 0 : 1;
    this->knownRuns.add(hashUpstreamId(upstream), kind == RunKind::StandbyCopy ? 0 : 1, this->clock.now());
    this->changedUpstreams.insert(upstream);
    return number;
}

void LoadTracker::recordProgress(RunId run, double producedTokens)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    auto &entry = found->second;
    auto &load = this->localLoads[entry.upstream];
    auto growth = entry.footprint.peakTokens(producedTokens) - entry.footprint.peakTokens(entry.producedTokens);
    load.peakTokens += growth;
    entry.producedTokens = producedTokens;
    if (growth != 0 || !entry.isPrefilled) {
        this->changedUpstreams.insert(entry.upstream);
    }
    if (!entry.isPrefilled) {
        load.pendingPrefillTokens -= entry.footprint.promptTokens;
        entry.isPrefilled = true;
    }
}

void LoadTracker::removeRun(RunId run)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->runs.find(run);
    if (found == this->runs.end()) {
        return;
    }
    auto load = this->localLoads.find(found->second.upstream);
    this->changedUpstreams.insert(found->second.upstream);
    load->second.peakTokens -= found->second.footprint.peakTokens(found->second.producedTokens);
    load->second.pendingPrefillTokens -= found->second.isPrefilled ? 0 : found->second.footprint.promptTokens;
    load->second.decodingRuns -= found->second.kind == RunKind::StandbyCopy ? 0 : 1;
    this->knownRuns.add(hashUpstreamId(found->second.upstream), found->second.kind == RunKind::StandbyCopy ? 0 : -1, this->clock.now());
    if (--load->second.runs == 0) {
        this->localLoads.erase(load);
    }
    this->runs.erase(found);
}

UpstreamLoad LoadTracker::load(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpiredPeers();
    UpstreamLoad total;
    auto local = this->localLoads.find(upstream);
    if (local != this->localLoads.end()) {
        total = local->second;
    }
    auto reported = this->combinedPeerLoads.find(hashUpstreamId(upstream));
    if (reported != this->combinedPeerLoads.end()) {
        total += reported->second;
    }
    return total;
}

UpstreamLoad LoadTracker::remoteLoad(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->remoteLoads.find(hashUpstreamId(upstream));
    return found == this->remoteLoads.end() || this->clock.now() >= this->aggregateLoadsValidUntil ? UpstreamLoad() : found->second;
}

UpstreamLoad LoadTracker::aggregateLoad(const FailureDomainId &domain, const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->aggregateLoads.find({ domain, pool });
    return found == this->aggregateLoads.end() || this->clock.now() >= this->aggregateLoadsValidUntil ? UpstreamLoad() : found->second;
}

std::int64_t LoadTracker::knownRunsAt(std::uint64_t upstreamHash, TimePoint time) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->knownRuns.runsAt(upstreamHash, time);
}

std::vector<UpstreamLoadReport> LoadTracker::localReports() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamLoadReport> reports;
    reports.reserve(this->localLoads.size());
    for (const auto &[upstream, load] : this->localLoads) {
        reports.push_back(UpstreamLoadReport { hashUpstreamId(upstream), load, Duration(0) });
    }
    return reports;
}

std::vector<UpstreamLoadReport> LoadTracker::takeChangedReports(std::size_t maximumCount)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamLoadReport> reports;
    while (reports.size() < maximumCount && !this->changedUpstreams.empty()) {
        auto upstream = this->changedUpstreams.extract(this->changedUpstreams.begin()).value();
        auto load = this->localLoads.find(upstream);
        reports.push_back(UpstreamLoadReport { hashUpstreamId(upstream), load == this->localLoads.end() ? UpstreamLoad() : load->second, Duration(0) });
    }
    return reports;
}

std::vector<UpstreamLoadReport> LoadTracker::combinedReports()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeExpiredPeers();
    auto totals = this->combinedPeerLoads;
    for (const auto &[upstream, load] : this->localLoads) {
        totals[hashUpstreamId(upstream)] += load;
    }
    std::vector<UpstreamLoadReport> reports;
    reports.reserve(totals.size());
    for (const auto &[hash, load] : totals) {
        reports.push_back(UpstreamLoadReport { hash, load, Duration(0) });
    }
    return reports;
}

void LoadTracker::replacePeerReports(const HostId &peer, const std::vector<UpstreamLoadReport> &reports, TimePoint validUntil)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &entry = this->renewPeer(peer, validUntil);
    this->removeReports(entry);
    for (const auto &report : reports) {
        this->replaceReport(entry, report);
    }
}

void LoadTracker::updatePeerReports(const HostId &peer, const std::vector<UpstreamLoadReport> &changes, TimePoint validUntil)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &entry = this->renewPeer(peer, validUntil);
    for (const auto &change : changes) {
        this->replaceReport(entry, change);
    }
}

void LoadTracker::replaceAggregateLoads(const std::vector<DomainPoolLoad> &areas, const std::vector<UpstreamLoadReport> &upstreams, TimePoint validUntil)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->aggregateLoads.clear();
    for (const auto &entry : areas) {
        this->aggregateLoads[{ entry.domain, entry.pool }] += entry.load;
    }
    this->remoteLoads.clear();
    for (const auto &report : upstreams) {
        this->remoteLoads[report.upstreamHash] += report.load;
    }
    this->aggregateLoadsValidUntil = validUntil;
}

void LoadTracker::replaceReport(Peer &peer, const UpstreamLoadReport &report)
{
    auto &total = this->combinedPeerLoads[report.upstreamHash];
    auto known = peer.loads.find(report.upstreamHash);
    auto earlierRuns = known == peer.loads.end() ? 0 : std::int64_t { known->second.decodingRuns };
    auto laterRuns = report.load.runs > 0 ? std::int64_t { report.load.decodingRuns } : 0;
    this->knownRuns.add(report.upstreamHash, laterRuns - earlierRuns, this->clock.now());
    if (known != peer.loads.end()) {
        total -= known->second;
        peer.loads.erase(known);
    }
    if (report.load.runs > 0) {
        total += report.load;
        peer.loads[report.upstreamHash] = report.load;
    }
    if (total.runs == 0) {
        this->combinedPeerLoads.erase(report.upstreamHash);
    }
}

void LoadTracker::removeReports(Peer &peer)
{
    auto loads = peer.loads;
    for (const auto &[hash, load] : loads) {
        this->replaceReport(peer, UpstreamLoadReport { hash, {}, Duration(0) });
    }
}

LoadTracker::Peer &LoadTracker::renewPeer(const HostId &peer, TimePoint validUntil)
{
    this->removeExpiredPeers();
    this->nextPeerExpiry = std::min(this->nextPeerExpiry, validUntil);
    auto &entry = this->peers[peer];
    entry.validUntil = validUntil;
    return entry;
}

void LoadTracker::removeExpiredPeers()
{
    auto now = this->clock.now();
    if (now < this->nextPeerExpiry) {
        return;
    }
    this->nextPeerExpiry = TimePoint::max();
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        if (now < entry->second.validUntil) {
            this->nextPeerExpiry = std::min(this->nextPeerExpiry, entry->second.validUntil);
            ++entry;
            continue;
        }
        this->removeReports(entry->second);
        entry = this->peers.erase(entry);
    }
}

std::uint64_t LoadTracker::hashUpstreamId(const UpstreamId &upstream)
{
    return XXH64(upstream.value().data(), upstream.value().size(), 0);
}

}
