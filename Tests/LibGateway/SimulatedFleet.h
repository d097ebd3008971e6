#pragma once

#include "FeedFakes.h"

#include <LibGateway/PeerAgent.h>
#include <LibGateway/RolloutController.h>

#include <memory>
#include <queue>

namespace Lovageward {

/** An in-memory fleet: real agents and followers, one store, and links that delay and lose datagrams. All nodes share a clock. */
class SimulatedFleet final
{
public:
    static constexpr std::size_t regions = 2;

    /** What a test adds to the nodes that have roll-outs enabled. */
    struct RolloutSupport
    {
        RolloutLimits limits;
        const RecordSync &sync;
        StatusBoard &board;
    };

    struct FleetOptions
    {
        /** Roll-outs are disabled if absent. */
        std::optional<RolloutSupport> rolloutSupport;
        /** Loads that upstreams report apply to all pools. */
        bool usesReportedLoads = false;
    };

    SimulatedFleet(std::size_t nodes, std::size_t domains, double lossShare, const FleetOptions &options);
    SimulatedFleet(std::size_t nodes, std::size_t domains, double lossShare) : SimulatedFleet(nodes, domains, lossShare, FleetOptions {})
    {
    }

    /** Simulates `time` in steps of 5 ms. Nodes that are down neither send nor receive. */
    void run(Duration time);

    /** Restarts the node without any state. */
    void restart(std::size_t node);

    /** Writes the registration of an upstream to the store. */
    void writeUpstream(const std::string &id, const std::string &value)
    {
        this->feeds[1].write(id, value);
    }

    std::size_t size() const
    {
        return this->nodes.size();
    }

    /** Number of nodes that are up and have all records of the topic. */
    std::size_t countUpToDate(FeedTopic topic) const;

    /** Bytes of digests and pulled records that the node sent and received since resetTraffic(). */
    double trafficBytes(std::size_t node) const
    {
        return this->nodes[node]->trafficBytes;
    }

    void resetTraffic();

    /** The domain's node location, with two regions. */
    NodeLocation locationOf(const FailureDomainId &domain) const;

    /** A node: its objects, and the interfaces through which they use each other. */
    struct Node final : public PeerFeed, public FeedListener, public FeedInbox, public StoreEraListener
    {
        Node(SimulatedFleet &fleet, const KnownHost &self);

        FeedPage pull(FeedTopic topic, const FeedPosition &position) override;
        bool hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const override;
        bool isReader(FeedTopic topic) const override;
        TimePoint freshUntil(FeedTopic topic, StoreEra minimumEra) const override;
        bool isDiscoveryComplete() const override;
        Duration drawListingDelay() override;
        Duration drawStoreCallJitter() override;
        void onRecordsRead(const FeedBatch &batch) override;
        void onRecordsComplete(FeedTopic topic) override;
        TimePoint lastReadAt(FeedTopic topic) const override;
        std::optional<StoreOutageReport> recentOutage(FeedTopic topic) const override;
        void recordPeerOutage(FeedTopic topic, const StoreOutageReport &report) override;
        void receive(FeedBatch batch) override;
        void onNewerRecordsAvailable(FeedTopic topic) override;
        void onStoreEra(StoreEra era) override;

        SimulatedFleet &fleet;
        KnownHost self;
        SeededRandom random;
        bool isUp = true;
        double trafficBytes = 0;
        FeedMirror mirror;
        StoreEraTracker storeEras;
        ConfigHolder config;
        UpstreamRegistry registry;
        LoadTracker loads;
        TokenTimeTracker tokenTimes;
        StatedRateLimits rateLimits;
        QueryOfDeathDetector queriesOfDeath;
        UpstreamSpeedTracker speeds;
        PeerTable peers;
        /** nullptr unless the fleet has roll-outs enabled. */
        std::unique_ptr<RolloutController> rollouts;
        PeerAgent agent;
        FeedFollower operators;
        FeedFollower upstreams;
        std::array<TimePoint, feedTopicCount> nextStepAt {};
    };

    Node &at(std::size_t node)
    {
        return *this->nodes[node];
    }

    ManualClock clock;
    /** The stores of the topics. */
    std::array<FakeFeed, feedTopicCount> feeds;
    std::size_t pulledBytes = 0;

private:
    /** A datagram in transit. */
    struct Datagram
    {
        TimePoint arrivesAt;
        std::uint64_t sequenceNumber = 0;
        std::string from;
        std::string target;
        std::shared_ptr<const std::string> bytes;

        bool operator>(const Datagram &other) const
        {
            return std::pair(this->arrivesAt, this->sequenceNumber) > std::pair(other.arrivesAt, other.sequenceNumber);
        }
    };

    KnownHost makeHost(std::size_t node) const;
    std::unique_ptr<RolloutController> makeRollouts(Node &node);
    void stepNode(Node &node);
    void deliver();

    std::size_t domains;
    double lossShare;
    FleetOptions options;
    std::uint64_t lastProcess = 0;
    SeededRandom random { 7 };
    NullEventLog events;
    Counters counters;
    FakeDecoder decoder;
    std::uint64_t sentCount = 0;
    std::map<std::string, std::size_t> nodeByAddress;
    std::vector<std::unique_ptr<Node>> nodes;
    std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> inFlight;
};

}
