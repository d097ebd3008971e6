#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ForwardDependencies.h>
#include <LibGateway/FeedFollower.h>
#include <LibGateway/PeerAgent.h>
#include <LibMembership/PeriodicTask.h>
#include <LibMembership/TaskThread.h>

#include <Poco/Net/DatagramSocket.h>

#include <array>
#include <atomic>
#include <thread>

namespace Lovageward {

/** Dependencies of DigestTransport. */
struct DigestTransportDependencies
{
    const Clock &clock;
    EventLog &events;
    Counters &counters;
    LoadTracker &loadTracker;
    TokenTimeTracker &tokenTimes;
    PeerTable &peers;
    const FeedMirror &mirror;
    UpstreamRegistry &registry;
    StatedRateLimits &rateLimits;
    QueryOfDeathDetector &queriesOfDeath;
    UpstreamSpeedTracker &speeds;
    const DrainState &drain;
    StoreEraTracker &storeEras;
    /** nullptr if roll-outs are disabled. */
    RolloutExchange *rollouts = nullptr;
};

/**
 * Sends and receives the digests of a PeerAgent as UDP datagrams. Datagrams aren't retransmitted, and there are no connections that could stall.
 * step() sends; a separate thread receives. Lock order: it has no lock of its own.
 */
class DigestTransport final : public PeriodicTask,
                              public PlacementListener,
                              public FeedListener,
                              public StoreEraListener,
                              public RolloutListener,
                              private FeedInbox
{
public:
    /** Throws Error(InvalidSettings) if the address can't be bound. */
    DigestTransport(const DigestTransportDependencies &dependencies, const KnownHost &self);
    ~DigestTransport() override;

    TimePoint step() override;

    /** Schedules the next digest without delay, as do the four functions below. */
    void loadChanged() override;
    void upstreamLoadReported() override;
    void upstreamNoticeReceived() override;
    void onRecordsRead(const FeedBatch &batch) override;
    void onRecordsComplete(FeedTopic topic) override;
    void onStoreEra(StoreEra era) override;
    void rolloutChanged() override;

    /** Sets the thread that runs step(). To be called once, before requests are placed. */
    void setSenderThread(TaskThread *thread)
    {
        this->senderThread = thread;
    }

    /**
     * Sets the followers in the order of FeedTopic, nullptr for topics that aren't followed, and their threads, which are woken when a peer has newer records.
     * To be called once, before requests are placed.
     */
    void setFeedFollowers(const std::array<FeedFollower *, feedTopicCount> &feedFollowers, const std::array<TaskThread *, feedTopicCount> &feedThreads);

private:
    TimePoint lastReadAt(FeedTopic topic) const override;
    std::optional<StoreOutageReport> recentOutage(FeedTopic topic) const override;
    void recordPeerOutage(FeedTopic topic, const StoreOutageReport &report) override;
    void receive(FeedBatch batch) override;
    void onNewerRecordsAvailable(FeedTopic topic) override;

    void receiveDigests();
    void handleDigest(std::string_view bytes, const std::string &address);
    void send(const OutgoingDigest &digest);
    void wakeSender();

    DigestTransportDependencies dependencies;
    PeerAgent agent;
    Poco::Net::DatagramSocket socket;
    std::atomic<bool> isStopping = false;
    std::atomic<TaskThread *> senderThread = nullptr;
    std::array<std::atomic<FeedFollower *>, feedTopicCount> followers {};
    std::array<std::atomic<TaskThread *>, feedTopicCount> followerThreads {};
    std::thread receiver;
};

}
