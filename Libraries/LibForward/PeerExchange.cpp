#include <LibForward/PeerExchange.h>

#include <LibCore/Error.h>
#include <LibHttp/ClientSession.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace Lovageward {

namespace {

/** The receiver looks so often whether it is to stop. */
constexpr Duration receiveWait = seconds(1);

constexpr std::size_t namedPeers = 4;

}

PeerExchange::PeerExchange(const PeerExchangeParts &parts, const HostId &host, const FailureDomainId &failureDomain, const std::string &listenAddress)
    : parts(parts), host(host), failureDomain(failureDomain)
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(listenAddress), true);
        this->socket.setReceiveTimeout(toTimespan(receiveWait));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't bind the peer socket " + listenAddress + ": " + error.displayText());
    }
    this->receiver = std::thread([this] { this->receive(); });
}

PeerExchange::~PeerExchange()
{
    this->isStopping = true;
    this->receiver.join();
}

PeerDigest PeerExchange::ownDigest() const
{
    PeerDigest digest;
    digest.host = this->host;
    digest.failureDomain = this->failureDomain;
    digest.isLeaving = this->parts.drain.isBegun();
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        digest.nextOffsets[topic] = this->parts.mirror.nextOffset(static_cast<FeedTopic>(topic));
        const auto *follower = this->followers[topic].load();
        digest.readAges[topic] = follower == nullptr ? Duration::max() : this->parts.clock.now() - follower->lastReadAt();
    }
    digest.shares = this->parts.book.ownShares();
    digest.peers = this->parts.peers.live(namedPeers);
    return digest;
}

void PeerExchange::setFollowers(const std::array<FeedFollower *, feedTopicCount> &feeds, const std::array<TaskThread *, feedTopicCount> &feedThreads)
{
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        this->followers[topic] = feeds[topic];
        this->followerThreads[topic] = feedThreads[topic];
    }
}

void PeerExchange::recordsRead(const FeedPiece &piece)
{
    {
        std::lock_guard<std::mutex> guard(this->piecesMutex);
        for (auto &part : cutToSize(piece, largestPieceBytes)) {
            this->pieces.push_back(std::move(part));
        }
    }
    this->pacer.recordsRead();
    this->wakeSender();
}

void PeerExchange::loadChanged()
{
    this->pacer.loadChanged();
    this->wakeSender();
}

void PeerExchange::wakeSender()
{
    auto *thread = this->sender.load();
    if (thread != nullptr) {
        thread->wake();
    }
}

TimePoint PeerExchange::step()
{
    auto now = this->parts.clock.now();
    auto audience = this->pacer.due(now);
    if (audience != DigestAudience::Nobody) {
        auto isForAll = audience == DigestAudience::All;
        auto targets = isForAll ? this->parts.peers.targets() : this->parts.peers.nearTargets();
        // Records that were read meanwhile wait for a digest to all.
        for (const auto &digest : isForAll ? this->digestsWithRecords() : std::vector<PeerDigest> { this->ownDigest() }) {
            this->sendTo(targets, digest);
        }
        auto isReader = this->parts.peers.isReader(FeedTopic::Operators) || this->parts.peers.isReader(FeedTopic::Upstreams);
        this->pacer.sent(now, audience, targets.size(), isReader);
    }
    return this->pacer.next();
}

std::vector<PeerDigest> PeerExchange::digestsWithRecords()
{
    std::vector<FeedPiece> unsent;
    {
        std::lock_guard<std::mutex> guard(this->piecesMutex);
        unsent.swap(this->pieces);
    }
    auto state = this->ownDigest();
    if (unsent.empty()) {
        return { state };
    }
    std::vector<PeerDigest> digests;
    for (auto &piece : unsent) {
        // Peers don't ask for what comes with the digests after this one.
        state.nextOffsets[static_cast<std::size_t>(piece.topic)] = piece.page.nextOffset;
        state.piece = std::move(piece);
        digests.push_back(state);
    }
    return digests;
}

void PeerExchange::sendTo(const std::vector<std::string> &targets, const PeerDigest &digest)
{
    auto bytes = encodeDigest(digest);
    for (const auto &target : targets) {
        try {
            this->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(target));
            this->parts.counters.counter("lovageward_digests_sent_total").add();
        } catch (const Poco::Exception &error) {
            this->parts.events.write("digest_not_sent", { { "peer", target }, { "reason", error.displayText() } });
        }
    }
}

void PeerExchange::receive()
{
    std::array<char, largestDigestBytes> bytes {};
    while (!this->isStopping) {
        try {
            Poco::Net::SocketAddress sender;
            auto count = this->socket.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), sender);
            this->take(std::string_view(bytes.data(), static_cast<std::size_t>(count)), sender.toString());
        } catch (const Poco::TimeoutException &) { // NOLINT(bugprone-empty-catch): nothing arrived.
        } catch (const Poco::Exception &error) {
            // The kernel reports a peer without a listener on the next receive.
            this->parts.events.write("digest_receive_failed", { { "reason", error.displayText() } });
        }
    }
}

void PeerExchange::take(std::string_view bytes, const std::string &sender)
{
    try {
        auto digest = decodeDigest(bytes);
        if (digest.host == this->host) {
            return;
        }
        if (digest.piece) {
            auto *follower = this->followers[static_cast<std::size_t>(digest.piece->topic)].load();
            if (follower != nullptr) {
                follower->receive(std::move(*digest.piece));
            }
        }
        for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
            auto *thread = this->followerThreads[topic].load();
            if (thread != nullptr && digest.nextOffsets[topic] > this->parts.mirror.nextOffset(static_cast<FeedTopic>(topic))) {
                thread->wake();
            }
        }
        if (this->parts.peers.heard(sender, digest)) {
            this->parts.events.write("peer", { { "peer", digest.host.value() }, { "address", sender } });
        }
        this->parts.book.applyPeer(digest.host, digest.shares, this->parts.peers.heardUntil());
        for (const auto &address : digest.peers) {
            this->parts.peers.learn(address);
        }
    } catch (const Error &error) {
        this->parts.events.write("digest_ignored", { { "address", sender }, { "reason", error.what() } });
    }
}

}
