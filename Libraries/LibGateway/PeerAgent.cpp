#include <LibGateway/PeerAgent.h>

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

namespace Lovageward {

namespace {

/** Number of live peers named in the first digest to a new peer. */
constexpr std::size_t peersInFirstDigest = 4;

/** Number of live peers named in each full state. */
constexpr std::size_t peersInFullState = 1;

/** Shortest interval of the load summaries that relays send. Single load changes stay within a failure domain. */
constexpr Duration minimumSummaryInterval = seconds(1);

/**
 * Interval of summaries that name single upstreams. Two relays send them independently, so their age at a node is about half of that. An engine prefills
 * a prompt in 0.3 s, so older loads mislead the nodes that place work there.
 */
constexpr Duration detailedSummaryInterval = milliseconds(600);

/** Largest fleet whose summaries name single upstreams. In larger ones they would take more than the specified 5 KB/s of a relay's link for each peer. */
constexpr std::size_t maximumNodesWithDetailedSummaries = 150;

/** Time after which a load summary that wasn't renewed is dropped. */
constexpr Duration summaryLifetime = seconds(6);

/** Limit of the batches that wait to be forwarded. Peers pull the records of dropped batches. */
constexpr std::size_t maximumQueuedBatches = 256;

/** Smallest gain in freshness that is announced at once. */
constexpr Duration minimumFreshnessGain = milliseconds(100);

/** Time for which changed suspicions of prompt parts are part of each digest; long enough to make up for lost datagrams. */
constexpr Duration suspicionReportingTime = seconds(3);

/** The same for digests of load changes, which are frequent; long enough for the next one. */
constexpr Duration suspicionReportingTimeWithChanges = milliseconds(300);

std::size_t indexOf(FeedTopic topic)
{
    return static_cast<std::size_t>(topic);
}

}

PeerAgent::PeerAgent(const PeerAgentDependencies &dependencies, HostId host, FailureDomainId failureDomain)
    : dependencies(dependencies), host(std::move(host)), failureDomain(std::move(failureDomain))
{
}

PeerDigest PeerAgent::makeDigest(LoadScope scope) const
{
    PeerDigest digest;
    digest.host = this->host;
    digest.failureDomain = this->failureDomain;
    digest.isLeaving = this->isLeaving;
    digest.isRelay = this->dependencies.peers.isRelay();
    for (std::size_t position = 0; position < feedTopicCount; ++position) {
        auto topic = static_cast<FeedTopic>(position);
        auto knownPosition = this->dependencies.mirror.nextPosition(topic);
        auto confirmedAt = PeerTable::readTimeOf(this->dependencies.peers.freshUntil(topic, knownPosition));
        digest.nextOffsets[position] = knownPosition.offset;
        digest.eras[position] = knownPosition.era;
        digest.readAges[position] = this->dependencies.clock.now() - std::max(this->dependencies.inbox.lastReadAt(topic), confirmedAt);
        digest.storeOutages[position] = this->dependencies.inbox.recentOutage(topic);
    }
    // Read last: a read of a new era that is counted above is then always sent with this era, so that peers don't take it for a confirmation of the old one.
    digest.knownEra = this->dependencies.storeEras.current();
    digest.loadScope = scope;
    if (scope == LoadScope::Full) {
        digest.shares = this->dependencies.loads.localReports();
        this->addTokenTimes(digest.shares);
    }
    digest.leavingUpstreams = this->dependencies.registry.recentShutdownNotices(maximumLeavingUpstreams);
    digest.rateLimits = this->dependencies.rateLimits.recentChanges(maximumRateLimits);
    auto suspicionWindow = scope == LoadScope::Changes ? suspicionReportingTimeWithChanges : suspicionReportingTime;
    // Full states repeat the quarantined parts for nodes that have started since.
    digest.suspectedParts = this->dependencies.queriesOfDeath.reports(suspicionWindow, scope == LoadScope::Full, maximumSuspectedParts);
    return digest;
}

void PeerAgent::addTokenTimes(std::vector<UpstreamLoadReport> &shares) const
{
    for (auto &share : shares) {
        share.tokenTime = this->dependencies.tokenTimes.localTokenTime(share.upstreamHash);
    }
}

bool PeerAgent::isRelayOrReader() const
{
    const auto &peers = this->dependencies.peers;
    auto isStatusReader = this->dependencies.rollouts != nullptr && peers.isReader(FeedTopic::Status);
    return peers.isRelay() || peers.isReader(FeedTopic::Operators) || peers.isReader(FeedTopic::Upstreams) || isStatusReader;
}

std::vector<OutgoingDigest> PeerAgent::takeDueDigests()
{
    std::vector<OutgoingDigest> outgoing;
    auto now = this->dependencies.clock.now();
    auto due = this->scheduler.takeDue(now, this->dependencies.peers.groupPeerCount(), this->isRelayOrReader());
    auto group = this->dependencies.peers.selectGroupTargets();
    this->addBatches(outgoing, group);
    if (due.isFullStateDue) {
        auto state = this->makeDigest(LoadScope::Full);
        state.knownPeers = this->dependencies.peers.randomLivePeers(peersInFullState);
        state.speedReports = this->takeGroupReports(group);
        this->dependencies.loads.takeChangedReports(std::numeric_limits<std::size_t>::max());
        outgoing.push_back(OutgoingDigest { group, encodeDigest(state) });
    } else if (due.isLoadChangeDue) {
        auto changes = this->makeDigest(LoadScope::Changes);
        changes.shares = this->dependencies.loads.takeChangedReports(maximumShares);
        this->addTokenTimes(changes.shares);
        changes.speedReports = this->takeGroupReports(group);
        outgoing.push_back(OutgoingDigest { group, encodeDigest(changes) });
    }
    if (due.isFreshnessDue) {
        auto isSummaryDue = now >= this->summaryDueAt;
        if (isSummaryDue) {
            auto interval = std::max<Duration>(minimumSummaryInterval, fullStateInterval(group.size()));
            this->summaryDueAt = now + (this->hasDetailedSummary() ? detailedSummaryInterval : interval);
        }
        // The group already learns the age of the records from the digest of load.
        auto isSentToGroup = (due.isFullStateDue || due.isLoadChangeDue) && !isSummaryDue;
        this->addFreshness(outgoing, isSentToGroup ? std::vector<std::string>() : group, isSummaryDue);
    }
    this->addRolloutReports(outgoing, group);
    this->addFirstDigests(outgoing);
    std::erase_if(outgoing, [](const OutgoingDigest &digest) { return digest.targets.empty(); });
    return outgoing;
}

TimePoint PeerAgent::nextDueAt() const
{
    auto next = this->scheduler.nextDueAt(this->isRelayOrReader());
    return this->dependencies.rollouts == nullptr ? next : std::min(next, this->dependencies.rollouts->nextReportAt());
}

void PeerAgent::addBatches(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group)
{
    std::vector<QueuedBatch> queued;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        queued.swap(this->queuedBatches);
    }
    if (queued.empty()) {
        return;
    }
    auto relays = this->dependencies.peers.selectRelayTargets();
    for (auto &entry : queued) {
        auto digest = this->makeDigest(LoadScope::None);
        // Includes the records of the batch, so that peers don't request them as well.
        auto topic = indexOf(entry.batch.topic);
        if (digest.eras[topic] == entry.batch.page.era) {
            digest.nextOffsets[topic] = std::max(digest.nextOffsets[topic], entry.batch.page.nextOffset);
        }
        digest.batch = std::move(entry.batch);
        outgoing.push_back(OutgoingDigest { group, encodeDigest(digest) });
        if (entry.isFromStore && !relays.empty()) {
            digest.isBatchForGroup = true;
            outgoing.push_back(OutgoingDigest { relays, encodeDigest(digest) });
        }
    }
}

void PeerAgent::addFreshness(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group, bool isSummaryDue)
{
    auto digest = this->makeDigest(LoadScope::None);
    digest.speedReports = this->takeGroupReports(group);
    if (!digest.isRelay) {
        outgoing.push_back(OutgoingDigest { group, encodeDigest(digest) });
        return;
    }
    if (isSummaryDue) {
        std::lock_guard<std::mutex> guard(this->mutex);
        digest.summary = this->remoteSummary;
    }
    outgoing.push_back(OutgoingDigest { group, encodeDigest(digest) });
    if (isSummaryDue) {
        digest.summary = this->summarizeOwnDomain();
    }
    auto relays = this->dependencies.peers.selectRelayTargets();
    digest.speedReports = this->dependencies.speeds.takeReports(ReportChannel::Relays, relays.size());
    outgoing.push_back(OutgoingDigest { std::move(relays), encodeDigest(digest) });
}

std::vector<UpstreamSpeedReport> PeerAgent::takeGroupReports(const std::vector<std::string> &group)
{
    auto reports = this->dependencies.speeds.takeReports(ReportChannel::Group, group.size());
    if (this->dependencies.peers.isRelay()) {
        auto forwarded = this->dependencies.speeds.takeReports(ReportChannel::ForwardToGroup, group.size());
        reports.insert(reports.end(), forwarded.begin(), forwarded.end());
    }
    return reports;
}

void PeerAgent::announceUpstreamLoad()
{
    this->scheduler.markLoadChanged();
    if (this->dependencies.peers.isRelay()) {
        this->scheduler.markFreshnessChanged();
    }
}

void PeerAgent::receiveSpeedReports(const PeerDigest &digest)
{
    auto isOtherDomain = digest.failureDomain != this->failureDomain && this->dependencies.peers.isHierarchical();
    for (const auto &report : digest.speedReports) {
        auto origin = isOtherDomain || report.isFromOtherDomain ? ReportOrigin::OtherDomain : ReportOrigin::Group;
        if (this->dependencies.speeds.recordPeerReport(report, origin) && this->dependencies.peers.isRelay()) {
            this->scheduler.markFreshnessChanged();
        }
    }
}

void PeerAgent::addRolloutReports(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group)
{
    if (this->dependencies.rollouts == nullptr) {
        return;
    }
    auto due = this->dependencies.rollouts->takeDueReports(this->dependencies.peers.groupPeerCount(), this->dependencies.peers.isRelay());
    if (due.group.empty()) {
        return;
    }
    auto digest = this->makeDigest(LoadScope::None);
    digest.rollouts = std::move(due.group);
    outgoing.push_back(OutgoingDigest { group, encodeDigest(digest) });
    if (!due.relays.empty()) {
        digest.rollouts = std::move(due.relays);
        outgoing.push_back(OutgoingDigest { this->dependencies.peers.selectRelayTargets(), encodeDigest(digest) });
    }
}

void PeerAgent::addFirstDigests(std::vector<OutgoingDigest> &outgoing)
{
    std::vector<std::string> newPeers;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        newPeers.swap(this->newPeerAddresses);
    }
    if (newPeers.empty()) {
        return;
    }
    auto digest = this->makeDigest(LoadScope::Full);
    digest.knownPeers = this->dependencies.peers.randomLivePeers(peersInFirstDigest);
    outgoing.push_back(OutgoingDigest { std::move(newPeers), encodeDigest(digest) });
}

FleetSummary PeerAgent::summarizeOwnDomain() const
{
    FleetSummary summary;
    summary.nodeCount = this->dependencies.peers.groupPeerCount() + 1;
    summary.upstreams = this->dependencies.loads.combinedReports();
    this->limitDetail(summary);
    return summary;
}

void PeerAgent::limitDetail(FleetSummary &summary) const
{
    std::unordered_map<std::uint64_t, UpstreamLoad> loads;
    for (const auto &report : summary.upstreams) {
        loads[report.upstreamHash] += report.load;
    }
    summary.upstreams.clear();
    if (this->hasDetailedSummary() && loads.size() <= maximumSummaryUpstreams) {
        for (const auto &[hash, load] : loads) {
            summary.upstreams.push_back(UpstreamLoadReport { hash, load, Duration(0) });
        }
        return;
    }
    std::map<std::pair<FailureDomainId, PoolId>, UpstreamLoad> sums;
    for (const auto &area : summary.areas) {
        sums[{ area.domain, area.pool }] += area.load;
    }
    for (const auto &[hash, load] : loads) {
        if (auto area = this->dependencies.registry.findDomainPool(hash)) {
            sums[{ area->domain, area->pool }] += load;
        }
    }
    summary.areas.clear();
    for (const auto &[area, load] : sums) {
        summary.areas.push_back(DomainPoolLoad { area.first, area.second, load });
    }
}

bool PeerAgent::hasDetailedSummary() const
{
    auto upstreams = this->dependencies.registry.size();
    auto isSmallFleet = this->dependencies.peers.nodeCount() <= maximumNodesWithDetailedSummaries;
    return isSmallFleet && upstreams > 0 && upstreams <= maximumSummaryUpstreams && this->dependencies.speeds.appliesToAnyPool();
}

void PeerAgent::queueRecords(const FeedBatch &batch)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    for (auto &chunk : splitBatch(batch, maximumBatchBytes)) {
        auto &forwarded = this->forwardedPositions[indexOf(chunk.topic)];
        forwarded = std::max(forwarded, chunk.page.nextPosition());
        this->queuedBatches.push_back(QueuedBatch { std::move(chunk), true });
    }
    this->scheduler.markFreshnessChanged();
}

HostId PeerAgent::receive(std::string_view bytes, const std::string &sender)
{
    auto digest = decodeDigest(bytes);
    if (digest.host == this->host) {
        return {};
    }
    for (std::size_t position = 0; position < feedTopicCount; ++position) {
        if (digest.storeOutages[position]) {
            this->dependencies.inbox.recordPeerOutage(static_cast<FeedTopic>(position), *digest.storeOutages[position]);
        }
    }
    this->dependencies.storeEras.record(digest.knownEra);
    this->receiveBatch(digest);
    for (std::size_t position = 0; position < feedTopicCount; ++position) {
        auto topic = static_cast<FeedTopic>(position);
        if (digest.nextPosition(position) > this->dependencies.mirror.nextPosition(topic)) {
            this->dependencies.inbox.onNewerRecordsAvailable(topic);
        }
    }
    auto isNew = this->dependencies.peers.applyDigest(sender, digest);
    this->receiveLoad(digest);
    this->receiveSpeedReports(digest);
    for (const auto &leave : digest.leavingUpstreams) {
        if (this->dependencies.registry.recordShutdownNotice(leave)) {
            // Relays forward it to the other failure domains.
            this->scheduler.markFreshnessChanged();
        }
    }
    for (const auto &report : digest.rateLimits) {
        if (this->dependencies.rateLimits.recordPeerReport(report)) {
            this->scheduler.markFreshnessChanged();
        }
    }
    for (const auto &report : digest.suspectedParts) {
        if (this->dependencies.queriesOfDeath.recordPeerReport(report)) {
            // This node may know of a success that contradicts the suspicion, which the group learns from the next load change.
            this->scheduler.markLoadChanged();
            this->scheduler.markFreshnessChanged();
        }
    }
    for (const auto &report : digest.rollouts) {
        if (this->dependencies.rollouts != nullptr) {
            this->dependencies.rollouts->receiveReport(digest.host, digest.failureDomain, report);
        }
    }
    for (const auto &peer : digest.knownPeers) {
        this->dependencies.peers.addKnownHost(peer);
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    for (std::size_t position = 0; position < feedTopicCount; ++position) {
        auto freshUntil = this->dependencies.peers.freshUntil(static_cast<FeedTopic>(position));
        if (freshUntil > this->announcedFreshUntil[position] + minimumFreshnessGain) {
            this->announcedFreshUntil[position] = freshUntil;
            this->scheduler.markFreshnessChanged();
        }
    }
    if (isNew && (digest.failureDomain == this->failureDomain || !this->dependencies.peers.isHierarchical())) {
        this->newPeerAddresses.push_back(sender);
    }
    return isNew ? digest.host : HostId();
}

void PeerAgent::receiveBatch(const PeerDigest &digest)
{
    if (!digest.batch) {
        return;
    }
    const auto &batch = *digest.batch;
    this->dependencies.storeEras.record(batch.page.era);
    if (batch.page.era < this->dependencies.storeEras.current()) {
        return;
    }
    if (digest.isBatchForGroup) {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto &forwarded = this->forwardedPositions[indexOf(batch.topic)];
        if (batch.page.nextPosition() > forwarded && this->queuedBatches.size() < maximumQueuedBatches) {
            forwarded = batch.page.nextPosition();
            this->queuedBatches.push_back(QueuedBatch { batch, false });
        }
    }
    this->dependencies.inbox.receive(batch);
}

void PeerAgent::receiveLoad(const PeerDigest &digest)
{
    auto now = this->dependencies.clock.now();
    auto validUntil = now + peerTimeout(this->dependencies.peers.groupPeerCount());
    if (digest.loadScope == LoadScope::Full) {
        this->dependencies.loads.replacePeerReports(digest.host, digest.shares, validUntil);
    } else if (digest.loadScope == LoadScope::Changes) {
        this->dependencies.loads.updatePeerReports(digest.host, digest.shares, validUntil);
    }
    for (const auto &share : digest.shares) {
        this->dependencies.tokenTimes.recordPeerEstimate(share.upstreamHash, share.tokenTime);
    }
    if (digest.summary) {
        auto sum = this->dependencies.peers.applySummary(digest);
        this->limitDetail(sum);
        this->dependencies.loads.replaceAggregateLoads(sum.areas, sum.upstreams, now + summaryLifetime);
        std::lock_guard<std::mutex> guard(this->mutex);
        this->remoteSummary = std::move(sum);
    }
}

}
