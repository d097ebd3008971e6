#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/DigestScheduler.h>
#include <LibGateway/FeedMirror.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/PeerDigest.h>
#include <LibGateway/PeerTable.h>
#include <LibGateway/QueryOfDeathDetector.h>
#include <LibGateway/RolloutExchange.h>
#include <LibGateway/StatedRateLimits.h>
#include <LibGateway/StoreEraTracker.h>
#include <LibGateway/TokenTimeTracker.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibGateway/UpstreamSpeedTracker.h>

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** The followers of all topics, as a PeerAgent uses them. */
class FeedInbox
{
public:
    virtual ~FeedInbox() = default;

    /** Time of this node's own last successful read of the store. */
    virtual TimePoint lastReadAt(FeedTopic topic) const = 0;

    /** See StoreOutageTracker. */
    virtual std::optional<StoreOutageReport> recentOutage(FeedTopic topic) const = 0;

    /** A peer has reported an outage of the store. Called before the records that came with the report are passed on. */
    virtual void recordPeerOutage(FeedTopic topic, const StoreOutageReport &report) = 0;

    /** A peer has sent records. */
    virtual void receive(FeedBatch batch) = 0;

    /** A peer has reported that it has newer records. */
    virtual void onNewerRecordsAvailable(FeedTopic topic) = 0;
};

/** An encoded digest and the addresses to which it is sent. */
struct OutgoingDigest
{
    std::vector<std::string> targets;
    std::string bytes;
};

/** The objects that a PeerAgent uses; they outlive it. */
struct PeerAgentDependencies
{
    const Clock &clock;
    LoadTracker &loads;
    TokenTimeTracker &tokenTimes;
    PeerTable &peers;
    const FeedMirror &mirror;
    UpstreamRegistry &registry;
    StatedRateLimits &rateLimits;
    QueryOfDeathDetector &queriesOfDeath;
    UpstreamSpeedTracker &speeds;
    FeedInbox &inbox;
    StoreEraTracker &storeEras;
    /** nullptr if roll-outs are disabled. */
    RolloutExchange *rollouts = nullptr;
};

/**
 * Decides which digests this node sends to which peers, and processes the digests of its peers. A reader sends new records to its group and to two
 * relays of each other failure domain, which forward them to their own groups, so no link carries more copies than a group has nodes. Answers the
 * load pattern of hundreds of nodes that depend on a reader with a slow link. One thread calls takeDueDigests() and nextDueAt(); the other functions
 * are safe from any thread. Lock order: its mutex is a leaf lock.
 */
class PeerAgent
{
public:
    PeerAgent(const PeerAgentDependencies &dependencies, HostId host, FailureDomainId failureDomain);

    /** Returns the digests to be sent now. */
    std::vector<OutgoingDigest> takeDueDigests();

    /** Time at which takeDueDigests() has to be called next, unless there is something to announce before. */
    TimePoint nextDueAt() const;

    /** This node's load has changed. */
    void announceLoadChange()
    {
        this->scheduler.markLoadChanged();
    }

    /** An upstream has reported a load that peers need without delay. */
    void announceUpstreamLoad();

    /** A response to this node has shown that an upstream shuts down or has crashed, or that its rate limit has changed. */
    void announceUpstreamNotice()
    {
        this->scheduler.markLoadChanged();
        this->scheduler.markNotice();
    }

    /** Queues records that this node has read from the store for its peers. */
    void queueRecords(const FeedBatch &batch);

    /** This node now has all records of a topic. */
    void announceCompleteRecords()
    {
        this->scheduler.markRecordsComplete();
    }

    /** This node knows of a higher era of the store, whoever has reported it. */
    void announceStoreEra()
    {
        this->scheduler.markFreshnessChanged();
        this->scheduler.markNotice();
    }

    /** This node shuts down: digests from now on mark it as leaving. */
    void announceShutdown()
    {
        this->isLeaving = true;
    }

    /**
     * Processes a peer's datagram. Returns the host id of a peer that is new or was silent until its timeout, else an empty id. Throws
     * Error(MalformedMessage).
     */
    HostId receive(std::string_view bytes, const std::string &sender);

private:
    struct QueuedBatch
    {
        FeedBatch batch;
        /** True if this node read the batch from the store; false if it forwards the batch of another node to its group. */
        bool isFromStore = false;
    };

    /** A digest of this node's current state, without a batch or a summary. */
    PeerDigest makeDigest(LoadScope scope) const;
    bool isRelayOrReader() const;
    /** Adds the time per token that this node measures at each engine. */
    void addTokenTimes(std::vector<UpstreamLoadReport> &shares) const;
    void receiveBatch(const PeerDigest &digest);
    void receiveLoad(const PeerDigest &digest);
    void addBatches(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group);
    void addFreshness(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group, bool isSummaryDue);
    void addRolloutReports(std::vector<OutgoingDigest> &outgoing, const std::vector<std::string> &group);
    void addFirstDigests(std::vector<OutgoingDigest> &outgoing);
    FleetSummary summarizeOwnDomain() const;
    /** Adds up the loads of each upstream, and turns them into sums of areas if they are too many for a digest. */
    void limitDetail(FleetSummary &summary) const;
    /** Whether summaries name each upstream: the fleet has few of them, and reported loads apply, because a mean hides differences between upstreams. */
    bool hasDetailedSummary() const;
    /** Takes the reported loads that are due to the group. */
    std::vector<UpstreamSpeedReport> takeGroupReports(const std::vector<std::string> &group);
    void receiveSpeedReports(const PeerDigest &digest);

    PeerAgentDependencies dependencies;
    HostId host;
    FailureDomainId failureDomain;
    std::atomic<bool> isLeaving = false;
    DigestScheduler scheduler;
    TimePoint summaryDueAt;
    std::mutex mutex;
    std::vector<QueuedBatch> queuedBatches;
    /** Addresses of new peers, which don't have this node's state yet. */
    std::vector<std::string> newPeerAddresses;
    /** For each topic the position up to which records were sent or forwarded. */
    std::array<FeedPosition, feedTopicCount> forwardedPositions {};
    /** For each topic the latest PeerTable::freshUntil that was announced. */
    std::array<TimePoint, feedTopicCount> announcedFreshUntil {};
    /** Sum of the nodes whose digests this node doesn't receive. */
    FleetSummary remoteSummary;
};

}
