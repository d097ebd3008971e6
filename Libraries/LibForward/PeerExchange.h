#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ForwardParts.h>
#include <LibGateway/DigestPacer.h>
#include <LibGateway/FeedFollower.h>
#include <LibGateway/FeedMirror.h>
#include <LibGateway/LoadBook.h>
#include <LibGateway/PeerDigest.h>
#include <LibGateway/PeerTable.h>
#include <LibMembership/PeriodicTask.h>
#include <LibMembership/TaskThread.h>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <thread>

namespace Lovageward {

/** What the exchange of digests works with. */
struct PeerExchangeParts
{
    const Clock &clock;
    EventLog &events;
    Counters &counters;
    LoadBook &book;
    PeerTable &peers;
    const FeedMirror &mirror;
    const DrainNotice &drain;
};

/**
 * Sends this node's digest to its peers and takes theirs. Digests travel as datagrams: each one holds the whole state, so nothing is repeated,
 * and no connection can go silent. Records of the store that this node has just read travel with them. step() sends; a thread of its own
 * receives. Lock order: its mutex is a leaf lock.
 */
class PeerExchange final : public PeriodicTask, public PlacementListener, public FeedListener
{
public:
    /** Throws Error(InvalidSettings) if the address can't be bound. */
    PeerExchange(const PeerExchangeParts &parts, const HostId &host, const FailureDomainId &failureDomain, const std::string &listenAddress);
    ~PeerExchange() override;

    TimePoint step() override;

    /** Sends the next digest soon. */
    void loadChanged() override;
    void recordsRead(const FeedPiece &piece) override;

    /** Set once, before work is placed. */
    void setThread(TaskThread *thread)
    {
        this->sender = thread;
    }

    /** The followers of the topics in their order, with their threads, which are woken when a peer has newer records. Set once, as above. */
    void setFollowers(const std::array<FeedFollower *, feedTopicCount> &feeds, const std::array<TaskThread *, feedTopicCount> &feedThreads);

private:
    void receive();
    void take(std::string_view bytes, const std::string &sender);
    PeerDigest ownDigest() const;
    /** One digest for each piece of the records that were read, or one without records. */
    std::vector<PeerDigest> digestsWithRecords();
    void sendTo(const std::vector<std::string> &targets, const PeerDigest &digest);
    void wakeSender();

    PeerExchangeParts parts;
    HostId host;
    FailureDomainId failureDomain;
    Poco::Net::DatagramSocket socket;
    std::atomic<bool> isStopping = false;
    std::atomic<TaskThread *> sender = nullptr;
    std::array<std::atomic<FeedFollower *>, feedTopicCount> followers {};
    std::array<std::atomic<TaskThread *>, feedTopicCount> followerThreads {};
    DigestPacer pacer;
    std::mutex piecesMutex;
    /** Records that the peers aren't told of yet. */
    std::vector<FeedPiece> pieces;
    std::thread receiver;
};

}
