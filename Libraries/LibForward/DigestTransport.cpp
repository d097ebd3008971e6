#include <LibForward/DigestTransport.h>

#include <LibCore/Error.h>
#include <LibHttp/ClientSession.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace Lovageward {

namespace {

/** Receive timeout, after which the receiver checks whether it should stop. */
constexpr Duration receiveTimeout = seconds(1);

}

DigestTransport::DigestTransport(const DigestTransportDependencies &dependencies, const KnownHost &self)
    : dependencies(dependencies)
    , agent({ dependencies.clock,
              dependencies.loadTracker,
              dependencies.tokenTimes,
              dependencies.peers,
              dependencies.mirror,
              dependencies.registry,
              dependencies.rateLimits,
              dependencies.queriesOfDeath,
              dependencies.speeds,
              *this,
              dependencies.storeEras,
              dependencies.rollouts },
            self.host,
            self.failureDomain)
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(self.address), true);
        this->socket.setReceiveTimeout(toTimespan(receiveTimeout));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't bind the peer socket " + self.address + ": " + error.displayText());
    }
    this->receiver = std::thread([this] { this->receiveDigests(); });
}

DigestTransport::~DigestTransport()
{
    this->isStopping = true;
    this->receiver.join();
}

void DigestTransport::setFeedFollowers(const std::array<FeedFollower *, feedTopicCount> &feedFollowers,
                                       const std::array<TaskThread *, feedTopicCount> &feedThreads)
{
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        this->followers[topic] = feedFollowers[topic];
        this->followerThreads[topic] = feedThreads[topic];
    }
}

TimePoint DigestTransport::lastReadAt(FeedTopic topic) const
{
    const auto *follower = this->followers[static_cast<std::size_t>(topic)].load();
    return follower == nullptr ? TimePoint() : follower->lastReadAt();
}

std::optional<StoreOutageReport> DigestTransport::recentOutage(FeedTopic topic) const
{
    const auto *follower = this->followers[static_cast<std::size_t>(topic)].load();
    return follower == nullptr ? std::nullopt : follower->recentOutage();
}

void DigestTransport::recordPeerOutage(FeedTopic topic, const StoreOutageReport &report)
{
    auto *follower = this->followers[static_cast<std::size_t>(topic)].load();
    if (follower != nullptr) {
        follower->recordPeerOutage(report);
    }
}

void DigestTransport::receive(FeedBatch batch)
{
    auto topic = batch.topic;
    auto *follower = this->followers[static_cast<std::size_t>(topic)].load();
    if (follower != nullptr) {
        follower->receive(std::move(batch));
        this->onNewerRecordsAvailable(topic);
    }
    this->wakeSender();
}

void DigestTransport::onNewerRecordsAvailable(FeedTopic topic)
{
    auto *thread = this->followerThreads[static_cast<std::size_t>(topic)].load();
    if (thread != nullptr) {
        thread->wake();
    }
}

void DigestTransport::onRecordsRead(const FeedBatch &batch)
{
    this->agent.queueRecords(batch);
    this->wakeSender();
}

void DigestTransport::onRecordsComplete(FeedTopic /*topic*/)
{
    this->agent.announceCompleteRecords();
    this->wakeSender();
}

void DigestTransport::onStoreEra(StoreEra /*era*/)
{
    this->agent.announceStoreEra();
    this->wakeSender();
    for (std::size_t topic = 0; topic < feedTopicCount; ++topic) {
        this->onNewerRecordsAvailable(static_cast<FeedTopic>(topic));
    }
}

void DigestTransport::loadChanged()
{
    this->agent.announceLoadChange();
    this->wakeSender();
}

void DigestTransport::upstreamLoadReported()
{
    this->agent.announceUpstreamLoad();
    this->wakeSender();
}

void DigestTransport::upstreamNoticeReceived()
{
    this->agent.announceUpstreamNotice();
    this->wakeSender();
}

void DigestTransport::rolloutChanged()
{
    this->wakeSender();
}

void DigestTransport::wakeSender()
{
    auto *thread = this->senderThread.load();
    if (thread != nullptr) {
        thread->wake();
    }
}

TimePoint DigestTransport::step()
{
    if (this->dependencies.drain.isDraining()) {
        this->agent.announceShutdown();
    }
    for (const auto &digest : this->agent.takeDueDigests()) {
        this->send(digest);
    }
    return this->agent.nextDueAt();
}

void DigestTransport::send(const OutgoingDigest &digest)
{
    auto &sent = this->dependencies.counters.counter("lovageward_digests_sent_total");
    auto &bytes = this->dependencies.counters.counter("lovageward_digest_bytes_sent_total");
    for (const auto &target : digest.targets) {
        try {
            this->socket.sendTo(digest.bytes.data(), static_cast<int>(digest.bytes.size()), Poco::Net::SocketAddress(target));
            sent.add();
            bytes.add(static_cast<std::int64_t>(digest.bytes.size()));
        } catch (const Poco::Exception &error) {
            this->dependencies.events.write("digest_not_sent", { { "peer", target }, { "reason", error.displayText() } });
        }
    }
}

void DigestTransport::receiveDigests()
{
    std::array<char, maximumDigestBytes> bytes {};
    while (!this->isStopping) {
        try {
            Poco::Net::SocketAddress sender;
            auto count = this->socket.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), sender);
            this->handleDigest(std::string_view(bytes.data(), static_cast<std::size_t>(count)), sender.toString());
        } catch (const Poco::TimeoutException &) { // NOLINT(bugprone-empty-catch): no datagram arrived.
        } catch (const std::exception &error) {
            // A datagram to a peer without a listener makes the next receive fail (ICMP port unreachable); the thread must survive that.
            this->dependencies.events.write("digest_receive_failed", { { "reason", error.what() } });
        }
    }
}

void DigestTransport::handleDigest(std::string_view bytes, const std::string &address)
{
    try {
        auto peer = this->agent.receive(bytes, address);
        if (!peer.isEmpty()) {
            this->dependencies.events.write("peer", { { "peer", peer.value() }, { "address", address } });
            this->wakeSender();
        }
    } catch (const Error &error) {
        this->dependencies.events.write("digest_ignored", { { "address", address }, { "reason", error.what() } });
    }
}

}
