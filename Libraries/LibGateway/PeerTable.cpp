#include <LibGateway/PeerTable.h>

#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** Nodes that read each topic for all; the second one covers the loss of the first. */
constexpr std::size_t readersPerTopic = 2;

/**
 * A peer's read is relied on for so long. A reader's read takes up to 600 ms and its digest comes every 300 ms, so an older one means that the
 * readers are lost or cut off from the store; what is left of the shortest bound on drains (2.5 s) is enough for a read of one's own.
 */
constexpr Duration readTrust = milliseconds(1200);

/** Pause between two tries of a silent peer, which may be cut off for a while. */
constexpr Duration silentTryPause = seconds(2);

/** Silent peers are forgotten after that; the store names those that return. */
constexpr Duration forgetTime = minutes(2);

}

PeerTable::PeerTable(const Clock &clock, RandomSource &random, HostId ownHost, FailureDomainId ownDomain, std::string ownAddress)
    : clock(clock), random(random), ownHost(std::move(ownHost)), ownDomain(std::move(ownDomain)), ownAddress(std::move(ownAddress))
{
}

void PeerTable::learn(const std::string &address)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (address != this->ownAddress && !this->peers.contains(address)) {
        this->peers[address].forgetAt = this->clock.now() + forgetTime;
    }
}

bool PeerTable::heard(const std::string &address, const PeerDigest &digest)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto &peer = this->peers[address];
    auto isNew = now >= peer.liveUntil;
    peer.liveUntil = now + digestLifetime(this->peers.size());
    peer.forgetAt = now + forgetTime;
    peer.host = digest.host;
    peer.failureDomain = digest.failureDomain;
    peer.isLeaving = digest.isLeaving;
    peer.nextOffsets = digest.nextOffsets;
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        peer.coveredUntil[topic] = now - digest.readAges[topic] + readTrust;
    }
    return isNew;
}

bool PeerTable::isReader(FeedTopic topic) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto key = topic == FeedTopic::Operators ? "operators" : "upstreams";
    auto own = RendezvousHash::score(this->ownHost, key);
    std::size_t ahead = 0;
    for (const auto &[address, peer] : this->peers) {
        auto isCandidate = this->clock.now() < peer.liveUntil && !peer.isLeaving;
        ahead += isCandidate && RendezvousHash::score(peer.host, key) > own ? 1 : 0;
    }
    return ahead < readersPerTopic;
}

TimePoint PeerTable::coveredUntil(FeedTopic topic) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    TimePoint latest;
    for (const auto &[address, peer] : this->peers) {
        if (this->clock.now() < peer.liveUntil) {
            latest = std::max(latest, peer.coveredUntil[static_cast<std::size_t>(topic)]);
        }
    }
    return latest;
}

std::vector<std::string> PeerTable::targets()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::erase_if(this->peers, [&](const auto &peer) { return now >= peer.second.forgetAt; });
    std::vector<std::string> addresses;
    for (auto &[address, peer] : this->peers) {
        if (now >= peer.liveUntil) {
            if (now < peer.tryAt) {
                continue;
            }
            peer.tryAt = now + silentTryPause;
        }
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> PeerTable::nearTargets() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<std::string> all;
    std::vector<std::string> near;
    for (const auto &[address, peer] : this->peers) {
        if (now < peer.liveUntil) {
            all.push_back(address);
            if (peer.failureDomain == this->ownDomain) {
                near.push_back(address);
            }
        }
    }
    return all.size() <= LoadBook::fewPeers ? all : near;
}

TimePoint PeerTable::heardUntil() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->clock.now() + digestLifetime(this->peers.size());
}

std::vector<std::string> PeerTable::live(std::size_t most) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : this->peers) {
        if (this->clock.now() < peer.liveUntil) {
            addresses.push_back(address);
        }
    }
    addresses = this->shuffled(std::move(addresses));
    addresses.resize(std::min(most, addresses.size()));
    return addresses;
}

std::vector<std::string> PeerTable::ahead(FeedTopic topic, std::uint64_t offset) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : this->peers) {
        if (this->clock.now() < peer.liveUntil && peer.nextOffsets[static_cast<std::size_t>(topic)] > offset) {
            addresses.push_back(address);
        }
    }
    return this->shuffled(std::move(addresses));
}

std::vector<std::string> PeerTable::shuffled(std::vector<std::string> addresses) const
{
    for (std::size_t left = addresses.size(); left > 1; --left) {
        std::swap(addresses[left - 1], addresses[this->random.below(left)]);
    }
    return addresses;
}

}
