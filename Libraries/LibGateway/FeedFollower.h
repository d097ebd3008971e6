#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <LibGateway/ConfigHolder.h>
#include <LibGateway/FeedBatch.h>
#include <LibGateway/FeedMirror.h>
#include <LibGateway/RolloutRecords.h>
#include <LibGateway/StateFeed.h>
#include <LibGateway/StoreEraTracker.h>
#include <LibGateway/StoreOutageTracker.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibMembership/PeriodicTask.h>

#include <atomic>
#include <mutex>
#include <optional>

namespace Lovageward {

/** Access to the records of peers, and to the role of this node among them (see PeerTable). */
class PeerFeed
{
public:
    virtual ~PeerFeed() = default;

    /** Fetches the records of the topic from `position` on from a peer. Throws Error(PeerUnreachable) if no peer responds. */
    virtual FeedPage pull(FeedTopic topic, const FeedPosition &position) = 0;

    /** True if a peer has reported a higher next position of the topic. */
    virtual bool hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const = 0;

    /** True if this node is one of the few that read the topic from the store. */
    virtual bool isReader(FeedTopic topic) const = 0;

    /** See PeerTable. */
    virtual TimePoint freshUntil(FeedTopic topic, StoreEra minimumEra) const = 0;

    /** See PeerTable. */
    virtual bool isDiscoveryComplete() const = 0;

    /**
     * Time for which a starting node waits for a peer's listing of a topic before it lists the topic itself. It grows with the group and is partly
     * random, so that few nodes list at a time; zero in a small fleet.
     */
    virtual Duration drawListingDelay() = 0;

    /** Random delay of a store call, so that not all nodes call at once. It grows with the fleet, up to a second. */
    virtual Duration drawStoreCallJitter() = 0;
};

/** Timing of the reads of a topic. */
struct FeedPollTiming
{
    /** Longest time for which the store holds a read open while there is no new record. */
    Duration maximumWait = Duration(0);
    /** Pause after a successful read. */
    Duration pauseAfterRead = Duration(0);
};

/** Is notified when a FeedFollower has read records from the store or has all records of its topic. */
class FeedListener
{
public:
    virtual ~FeedListener() = default;
    /** This node has read records from the store that its peers may not have. */
    virtual void onRecordsRead(const FeedBatch &batch) = 0;
    /** This node has all records of the topic, for the first time or after a new listing. */
    virtual void onRecordsComplete(FeedTopic topic) = 0;
};

/** Where a FeedFollower applies the records of its topic. */
struct FeedTargets
{
    ConfigHolder &config;
    UpstreamRegistry &registry;
    FeedMirror &mirror;
    FeedListener &listener;
    StoreEraTracker &storeEras;
    /** nullptr if roll-outs are disabled. */
    RolloutRecordListener *rollouts = nullptr;
};

/**
 * Follows one topic of the platform's store and applies its records. Only a few nodes, the readers, read the store. The others receive the records
 * from the readers, and read the store themselves when no reader reports fresh records. While the store is unavailable, records come from any peer
 * that has them. Upstreams whose registrations disappear around an outage (see StoreOutageTracker) are kept for a grace time, because they may have
 * expired only because of it. When the store was restored from an older copy, which its era shows, the follower lists the topic again, from the store or
 * from a peer that has listed it, and keeps what the copy lacks for a grace time, because it is written again. Answers the load patterns of a store that is
 * down, slow, restored or refuses single nodes, and of hundreds of nodes that start together.
 * One thread calls step(); the other functions are safe from any thread. Lock order: its mutex is a leaf lock.
 */
class FeedFollower final : public PeriodicTask
{
public:
    FeedFollower(const Clock &clock,
                 EventLog &events,
                 StateFeed &feed,
                 const FeedDecoder &decoder,
                 PeerFeed &peers,
                 FeedTargets targets,
                 FeedTopic topic,
                 FeedPollTiming pollTiming);

    TimePoint step() override;

    /** Records an outage of the store that a peer has reported. */
    void recordPeerOutage(const StoreOutageReport &report);

    /** See StoreOutageTracker. */
    std::optional<StoreOutageReport> recentOutage() const
    {
        return this->storeOutages.recentOutage();
    }

    /** Queues records from a peer. The next step applies them unless records before them are missing. */
    void receive(FeedBatch batch);

    /** True once all records of the topic were read, from the store or from a peer. */
    bool hasSynced() const
    {
        return this->isSynced;
    }

    /** Time of this node's last successful read of the store. */
    TimePoint lastReadAt() const;

private:
    /** Gets and applies the records that are due. Returns the time of the next check. */
    TimePoint followTopic();
    /** Starts a new listing if the store is known to have been restored since this node listed the topic. */
    void leaveOlderEra();
    /** Records the era of a response or a page. Throws Error(LogUnavailable) if it is older than the highest known one. */
    void acceptEra(StoreEra era);
    /** Applies a complete listing of an era that this node hasn't followed yet. */
    void enterEra(const FeedPage &page);
    /** Removes the keys that the copy lacked and that weren't written again within the grace time. */
    void removeKeysOfOlderEras();
    /** True if the change is older than what this node holds, so that it is a record of the copy or arrived late. */
    bool isOutdated(const FeedChange &change, const FeedRecord &record, const FeedRecord &previous) const;
    /** True if this node should wait for a peer's listing instead of listing the topic itself. Called until the topic is listed. */
    bool shouldWaitForPeers();
    void listTopic();
    FeedPage fetchListing();
    void readNewRecords();
    void applyReceivedBatches();
    void applyPage(const FeedPage &page);
    void applyRecords(const std::vector<FeedRecord> &records);
    /** Marks the topic as complete and notifies the listener. */
    void markListed();
    /** Gets the records from the readers if their reports are fresh. Returns the time of the next check, or nullopt if this node has to read the store. */
    std::optional<TimePoint> syncFromPeers();
    void apply(const FeedRecord &record);
    void applyChange(const FeedChange &change, const FeedRecord &record);
    void applyRolloutChange(const FeedChange &change);
    /** Removes the keys that a complete listing lacks, also from the mirror that peers read. */
    void removeUnlisted(const FeedPage &page);
    /** True if a peer has had records beyond `knownPosition` for longer than a batch of them takes to arrive. */
    bool isPullDue(const FeedPosition &knownPosition);
    /** A read of the store by this node has succeeded. */
    void recordSuccessfulRead();
    /** A read of the store by this node that began at `startedAt` has failed. */
    void recordFailedRead(TimePoint startedAt, const std::string &reason);
    /** Takes over the newest answer of the store to a peer, as far as peers have reported it. */
    void recordPeerAnswers();
    void recordAnswer(TimePoint answeredAt);
    /** This node's failed reads, if any, are over: it can read the store again or follows the readers. */
    void endReadFailure();
    void pullFromPeers();

    const Clock &clock;
    EventLog &events;
    StateFeed &feed;
    const FeedDecoder &decoder;
    PeerFeed &peers;
    FeedTargets targets;
    FeedTopic topic;
    FeedPollTiming pollTiming;
    bool isListed = false;
    /** The store has deleted records that this node lacks, so it has to list the topic itself. */
    bool mustRelist = false;
    std::atomic<bool> isSynced = false;
    std::atomic<Duration::rep> lastReadTime = 0;
    std::uint64_t nextOffset = 0;
    /** Time since which the store reads of this node fail. */
    std::optional<TimePoint> readsFailSince;
    StoreOutageTracker storeOutages;
    /** Time at which this node lists the topic unless a peer has; set once the peers are known. */
    std::optional<TimePoint> ownListingAt;
    /** Time at which records that a peer has are requested from it, unless they arrive before. */
    std::optional<TimePoint> pullAt;
    /** Next position of this node when `pullAt` was set. */
    FeedPosition pullPosition;
    /** Too many records are being applied to log each of them. */
    bool isBulkUpdate = false;
    /** Time until which keys are kept that the listing of a new era lacked. */
    std::optional<TimePoint> olderKeysUntil;
    /** Earliest time of the next own listing after a failed one, even if the follower is woken before. */
    TimePoint nextListingAt;
    /** Earliest time of the next store read, even if the follower is woken before. */
    TimePoint nextStoreReadAt;
    /** Time at which this node reads the store because no reader reports fresh records. */
    std::optional<TimePoint> fallbackReadAt;
    std::mutex receivedMutex;
    std::vector<FeedBatch> receivedBatches;
};

}
