#include <LibGateway/PeerTable.h>

#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** Largest number of peers with which all nodes exchange digests with each other; beyond it the fleet is hierarchical. */
constexpr std::size_t maximumFullMeshPeers = 12;

/** Number of nodes that read each topic; the second one covers the loss of the first. */
constexpr std::size_t readersPerTopic = 2;

/** Number of relays in each failure domain; the second one covers the loss of the first. */
constexpr std::size_t relaysPerDomain = 2;

constexpr const char *relayKey = "relay";

/**
 * Age of the store read up to which a peer's report counts as fresh. A read takes up to 600 ms, a reader sends a digest every 300 ms and a relay
 * forwards it within 250 ms, so an older report means that the readers are down or cut off from the store. The time that then remains of the shortest
 * limit for drains to take effect (2.5 s) suffices for a store read of this node.
 */
constexpr Duration freshnessLifetime = milliseconds(1500);

/** Time within which a peer that was named sends a digest if it is live. */
constexpr Duration assumedLiveTime = seconds(3);

/** Longest time for which roles wait for the node list of the store. A healthy store returns it within a few milliseconds. */
constexpr Duration discoveryTimeout = milliseconds(700);

/** Interval of the digests to a silent peer, which may be cut off temporarily. */
constexpr Duration silentPeerRetryInterval = seconds(2);

/** Silence after which a peer counts as lost: it is probably gone for good. */
constexpr Duration lostPeerTimeout = minutes(2);

/** Interval of the digests to a lost peer. They go on because regions can lose contact for an hour. */
constexpr Duration lostPeerRetryInterval = seconds(30);

/** Time without a digest after which a relay is replaced. */
constexpr Duration relayTimeout = seconds(3);

/** Time for which starting nodes wait for their relays' listing, in a group of any size. */
constexpr Duration minimumListingDelay = milliseconds(100);

/** Time by which each peer lengthens the wait, as more nodes request the listing from the relays. */
constexpr Duration listingDelayPerPeer = milliseconds(20);

/** Average interval at which the nodes of a group list a topic if the relays haven't. A listing takes megabytes of the links that all regions share. */
constexpr Duration listingInterval = milliseconds(200);

/** Average interval of the nodes' calls when each node calls the store itself. */
constexpr Duration jitterPerNode = milliseconds(10);

/** Longest random delay of a store call, which has to fit into time limits of 2.5 s. */
constexpr Duration maximumJitter = seconds(1);

/** Time for which a derived topology is used, so that it isn't derived again for each digest and request. */
constexpr Duration topologyLifetime = milliseconds(50);

/** Time for which a summary is valid. Relays send one every second or two. */
constexpr Duration summaryLifetime = seconds(6);

const char *topicKey(FeedTopic topic)
{
    if (topic == FeedTopic::Status) {
        return "status";
    }
    return topic == FeedTopic::Operators ? "operators" : "upstreams";
}

}

PeerTable::PeerTable(const Clock &clock, RandomSource &random, KnownHost self, std::size_t minimumNodeCount)
    : clock(clock), random(random), self(std::move(self)), minimumNodeCount(minimumNodeCount), discoveryDeadline(clock.now() + discoveryTimeout)
{
}

void PeerTable::addKnownHost(const KnownHost &host)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (host.address == this->self.address) {
        return;
    }
    auto now = this->clock.now();
    auto [entry, isNew] = this->peers.try_emplace(host.address);
    auto &peer = entry->second;
    if (isNew) {
        peer.assumedLiveUntil = now + assumedLiveTime;
        peer.lostAt = now + lostPeerTimeout;
        this->cachedTopology.validUntil = {};
    }
    if (peer.host.isEmpty()) {
        peer.host = host.host;
        peer.failureDomain = host.failureDomain;
    }
}

void PeerTable::markDirectoryRead()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->discoveryDeadline = std::min(this->discoveryDeadline, this->clock.now());
}

bool PeerTable::isDiscoveryComplete() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->clock.now() >= this->discoveryDeadline;
}

bool PeerTable::applyDigest(const std::string &address, const PeerDigest &digest)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto &peer = this->peers[address];
    auto isNew = !this->isLive(peer);
    auto isChange = isNew || peer.isLeaving != digest.isLeaving;
    peer.host = digest.host;
    peer.failureDomain = digest.failureDomain;
    peer.isLeaving = digest.isLeaving;
    peer.isRelay = digest.isRelay;
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        peer.nextPositions[topic] = digest.nextPosition(topic);
        // Without the allowance nodes that repeat each other's reports would trust readers that lost the store for a second too long.
        peer.freshUntil[topic] = now - digest.readAges[topic] - hopAgeAllowance + freshnessLifetime;
    }
    // Relays send digests every 300 ms, so their loss is detected sooner.
    peer.liveUntil = now + (digest.isRelay ? relayTimeout : peerTimeout(this->currentTopology().groupPeerCount()));
    peer.lostAt = now + lostPeerTimeout;
    if (isChange) {
        this->cachedTopology.validUntil = {};
    }
    return isNew;
}

FleetSummary PeerTable::applySummary(const PeerDigest &digest)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    // A relay of this domain sends the sum of all other domains. A relay itself receives them one by one and ignores the sum.
    auto isRelay = this->currentTopology().isRelay;
    if (digest.summary && !(digest.failureDomain == this->self.failureDomain && isRelay)) {
        this->summaries[digest.failureDomain] = ReceivedSummary { *digest.summary, now + summaryLifetime };
        this->cachedTopology.validUntil = {};
    }
    std::erase_if(this->summaries, [now](const auto &entry) { return now >= entry.second.validUntil; });
    FleetSummary sum;
    auto ownDomain = this->summaries.find(this->self.failureDomain);
    for (const auto &[domain, received] : this->summaries) {
        auto isCounted = ownDomain == this->summaries.end() || isRelay ? domain != this->self.failureDomain : domain == this->self.failureDomain;
        if (isCounted) {
            sum.nodeCount += received.summary.nodeCount;
            sum.areas.insert(sum.areas.end(), received.summary.areas.begin(), received.summary.areas.end());
            sum.upstreams.insert(sum.upstreams.end(), received.summary.upstreams.begin(), received.summary.upstreams.end());
        }
    }
    return sum;
}

std::size_t PeerTable::summarizedNodeCount() const
{
    auto now = this->clock.now();
    std::size_t relayedCount = 0;
    std::size_t directCount = 0;
    for (const auto &[domain, received] : this->summaries) {
        if (now < received.validUntil) {
            (domain == this->self.failureDomain ? relayedCount : directCount) += received.summary.nodeCount;
        }
    }
    return std::max(relayedCount, directCount);
}

std::size_t PeerTable::nodeCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    const auto &topology = this->currentTopology();
    return std::max(this->minimumNodeCount, 1 + topology.localPeers + std::max(topology.remotePeers, this->summarizedNodeCount()));
}

bool PeerTable::isHierarchical() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->currentTopology().isHierarchical;
}

bool PeerTable::isRelay() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->currentTopology().isRelay;
}

std::size_t PeerTable::groupPeerCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->currentTopology().groupPeerCount();
}

const PeerTable::Topology &PeerTable::currentTopology() const
{
    if (this->clock.now() >= this->cachedTopology.validUntil) {
        this->updateTopology();
    }
    return this->cachedTopology;
}

void PeerTable::updateTopology() const
{
    this->cachedTopology = Topology();
    auto ownScore = RendezvousHash::score(this->self.host, relayKey);
    std::size_t higherScores = 0;
    for (const auto &[address, peer] : this->peers) {
        if (!this->isPresumedLive(peer)) {
            continue;
        }
        auto isLocal = this->isInGroup(peer);
        ++(isLocal ? this->cachedTopology.localPeers : this->cachedTopology.remotePeers);
        auto isCandidate = isLocal && !peer.isLeaving && !peer.host.isEmpty();
        higherScores += isCandidate && RendezvousHash::score(peer.host, relayKey) > ownScore ? 1 : 0;
    }
    this->cachedTopology.isHierarchical
        = this->cachedTopology.localPeers + std::max(this->cachedTopology.remotePeers, this->summarizedNodeCount()) > maximumFullMeshPeers;
    this->cachedTopology.isRelay = this->cachedTopology.isHierarchical && higherScores < relaysPerDomain;
    this->cachedTopology.validUntil = this->clock.now() + topologyLifetime;
}

bool PeerTable::isReader(FeedTopic topic) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto isHierarchical = this->currentTopology().isHierarchical;
    if (isHierarchical && !this->currentTopology().isRelay) {
        return false;
    }
    auto ownScore = RendezvousHash::score(this->self.host, topicKey(topic));
    std::size_t higherScores = 0;
    for (const auto &[address, peer] : this->peers) {
        auto isCandidate = isHierarchical ? this->isLive(peer) && peer.isRelay : this->isPresumedLive(peer) && !peer.host.isEmpty();
        higherScores += isCandidate && !peer.isLeaving && RendezvousHash::score(peer.host, topicKey(topic)) > ownScore ? 1 : 0;
    }
    return higherScores < readersPerTopic;
}

TimePoint PeerTable::freshUntil(FeedTopic topic, StoreEra minimumEra) const
{
    return this->latestFreshUntil(topic, [minimumEra](const FeedPosition &position) { return position.era >= minimumEra; });
}

TimePoint PeerTable::freshUntil(FeedTopic topic, const FeedPosition &nextPosition) const
{
    return this->latestFreshUntil(
        topic, [&nextPosition](const FeedPosition &position) { return position.era == nextPosition.era && position.offset <= nextPosition.offset; });
}

TimePoint PeerTable::latestFreshUntil(FeedTopic topic, const std::function<bool(const FeedPosition &)> &isTrusted) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto position = static_cast<std::size_t>(topic);
    TimePoint latest;
    for (const auto &[address, peer] : this->peers) {
        if (this->isLive(peer) && isTrusted(peer.nextPositions[position])) {
            latest = std::max(latest, peer.freshUntil[position]);
        }
    }
    return latest;
}

Duration PeerTable::drawStoreCallJitter()
{
    auto maximumDelay = std::min<Duration>(maximumJitter, jitterPerNode * static_cast<std::int64_t>(this->nodeCount()));
    return std::chrono::duration_cast<Duration>(maximumDelay * this->random.unit());
}

Duration PeerTable::drawListingDelay()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    const auto &topology = this->currentTopology();
    if (!topology.isHierarchical) {
        return Duration(0);
    }
    auto peers = static_cast<std::int64_t>(topology.groupPeerCount());
    auto randomDelay = std::chrono::duration_cast<Duration>(listingInterval * peers * this->random.unit());
    return minimumListingDelay + listingDelayPerPeer * peers + randomDelay;
}

TimePoint PeerTable::readTimeOf(TimePoint freshUntil)
{
    return freshUntil - freshnessLifetime;
}

std::vector<std::string> PeerTable::selectGroupTargets()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto isHierarchical = this->currentTopology().isHierarchical;
    std::vector<std::string> addresses;
    for (auto &[address, peer] : this->peers) {
        if ((!isHierarchical || this->isInGroup(peer)) && this->shouldSendTo(peer, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool PeerTable::shouldSendTo(Peer &peer, TimePoint now) const
{
    if (this->isLive(peer)) {
        return true;
    }
    if (now < peer.retryAt) {
        return false;
    }
    peer.retryAt = now + (now < peer.lostAt ? silentPeerRetryInterval : lostPeerRetryInterval);
    return true;
}

std::vector<std::string> PeerTable::selectRelayTargets()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> targets;
    if (!this->currentTopology().isHierarchical) {
        return targets;
    }
    auto now = this->clock.now();
    struct Candidate
    {
        /** 2 for live relays, 1 for nodes that are presumed live, 0 for silent nodes. */
        int rank = 0;
        std::uint64_t score = 0;
        const std::string *address = nullptr;
        Peer *peer = nullptr;
    };
    std::map<FailureDomainId, std::vector<Candidate>> candidatesByDomain;
    for (auto &[address, peer] : this->peers) {
        if (peer.failureDomain.isEmpty() || peer.host.isEmpty() || peer.failureDomain == this->self.failureDomain) {
            continue;
        }
        auto isLiveRelay = this->isLive(peer) && peer.isRelay;
        if (!isLiveRelay && now < peer.retryAt) {
            continue;
        }
        auto rank = isLiveRelay ? 2 : this->isPresumedLive(peer) ? 1 : 0;
        candidatesByDomain[peer.failureDomain].push_back(Candidate { rank, RendezvousHash::score(peer.host, relayKey), &address, &peer });
    }
    for (auto &[domain, candidates] : candidatesByDomain) {
        std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
            return std::pair(left.rank, left.score) > std::pair(right.rank, right.score);
        });
        candidates.resize(std::min(candidates.size(), relaysPerDomain));
        for (const auto &candidate : candidates) {
            // Nodes that aren't live relays get digests only at long intervals.
            candidate.peer->retryAt = candidate.rank == 2 ? candidate.peer->retryAt : now + silentPeerRetryInterval;
            targets.push_back(*candidate.address);
        }
    }
    return targets;
}

std::vector<KnownHost> PeerTable::randomLivePeers(std::size_t maximum) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : this->peers) {
        if (this->isLive(peer)) {
            addresses.push_back(address);
        }
    }
    addresses = this->shuffled(std::move(addresses));
    addresses.resize(std::min(maximum, addresses.size()));
    std::vector<KnownHost> hosts;
    for (const auto &address : addresses) {
        const auto &peer = this->peers.at(address);
        hosts.push_back(KnownHost { peer.host, peer.failureDomain, address });
    }
    return hosts;
}

std::vector<std::string> PeerTable::peersWithNewerRecords(FeedTopic topic, const FeedPosition &position) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto index = static_cast<std::size_t>(topic);
    StoreEra highestEra;
    for (const auto &[address, peer] : this->peers) {
        highestEra = this->isLive(peer) ? std::max(highestEra, peer.nextPositions[index].era) : highestEra;
    }
    std::vector<std::string> localAddresses;
    std::vector<std::string> remoteAddresses;
    for (const auto &[address, peer] : this->peers) {
        if (this->isLive(peer) && peer.nextPositions[index] > position && peer.nextPositions[index].era == highestEra) {
            (this->isInGroup(peer) ? localAddresses : remoteAddresses).push_back(address);
        }
    }
    localAddresses = this->shuffled(std::move(localAddresses));
    remoteAddresses = this->shuffled(std::move(remoteAddresses));
    localAddresses.insert(localAddresses.end(), remoteAddresses.begin(), remoteAddresses.end());
    return localAddresses;
}

bool PeerTable::isLive(const Peer &peer) const
{
    return this->clock.now() < peer.liveUntil;
}

bool PeerTable::isPresumedLive(const Peer &peer) const
{
    return this->isLive(peer) || this->clock.now() < peer.assumedLiveUntil;
}

bool PeerTable::isInGroup(const Peer &peer) const
{
    return peer.failureDomain == this->self.failureDomain;
}

std::vector<std::string> PeerTable::shuffled(std::vector<std::string> addresses) const
{
    for (std::size_t left = addresses.size(); left > 1; --left) {
        std::swap(addresses[left - 1], addresses[this->random.below(left)]);
    }
    return addresses;
}

}
