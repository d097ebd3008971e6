#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/PeerDigest.h>

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward {

/**
 * Tracks the other nodes, which are discovered through seeds, the store and peers, and derives the roles of this node. In a small fleet all nodes
 * exchange digests with each other. A large fleet is hierarchical: a node exchanges digests with its group, which is the other nodes of its failure
 * domain, and two relays per domain exchange digests with the relays of the other domains. So the traffic of a node depends on the size of its group
 * and the number of domains, not on the size of the fleet. Two nodes, the readers, read each topic of the store for all. Answers the load pattern of
 * hundreds of nodes that start together, lose contact with each other and recover it. Thread-safe; its mutex is a leaf lock.
 */
class PeerTable final : public FleetView
{
public:
    /** `minimumNodeCount` is the lowest value that nodeCount() returns. */
    PeerTable(const Clock &clock, RandomSource &random, KnownHost self, std::size_t minimumNodeCount);

    /** Adds a node that the settings, the store or a peer named. A node whose address is known keeps its state. */
    void addKnownHost(const KnownHost &host);

    /** The registered nodes were read from the store and added. */
    void markDirectoryRead();

    /** True if this node can derive its roles: the registered nodes were read from the store, or the store didn't respond in time. */
    bool isDiscoveryComplete() const;

    /** Updates the state of the peer that sent the digest from `address`. Returns true if the peer is new or was silent until its timeout. */
    bool applyDigest(const std::string &address, const PeerDigest &digest);

    /** Stores the summary in a digest from a relay. Returns the sum of the current summaries: all nodes whose digests this node doesn't receive. */
    FleetSummary applySummary(const PeerDigest &digest);

    std::size_t nodeCount() const override;
    bool isHierarchical() const override;

    /** True if this node is a relay of its failure domain. Always false unless the fleet is hierarchical. */
    bool isRelay() const;

    /** True if this node is one of the readers of the topic. Without live peers it is. */
    bool isReader(FeedTopic topic) const;

    /**
     * Time until which the freshest report of a live peer on the topic can be trusted; in the past if there is no fresh report. Reports on eras before
     * `minimumEra` say nothing of records that were written after the store was restored.
     */
    TimePoint freshUntil(FeedTopic topic, StoreEra minimumEra = StoreEra()) const;

    /**
     * As above, but only of peers that follow the era of `nextPosition` and have no records from it on, so that this node, which has all their records,
     * may repeat their reports.
     */
    TimePoint freshUntil(FeedTopic topic, const FeedPosition &nextPosition) const;

    /** Time of the store read on which a result of freshUntil() is based. */
    static TimePoint readTimeOf(TimePoint freshUntil);

    /** See PeerFeed. */
    Duration drawStoreCallJitter();
    Duration drawListingDelay();

    /** Returns the addresses of the group to which a digest should be sent now. Silent peers are included only at long intervals. */
    std::vector<std::string> selectGroupTargets();

    /** Number of nodes in the group, without this one. */
    std::size_t groupPeerCount() const;

    /** Returns the addresses of the other domains' relays to which a digest should be sent now; none unless the fleet is hierarchical. */
    std::vector<std::string> selectRelayTargets();

    /** Returns at most `maximum` live peers in random order. */
    std::vector<KnownHost> randomLivePeers(std::size_t maximum) const;

    /**
     * Addresses of live peers with a higher next position of the topic, in the highest era that any of them has read: first the group, then the others,
     * both in random order.
     */
    std::vector<std::string> peersWithNewerRecords(FeedTopic topic, const FeedPosition &position) const;

private:
    struct Peer
    {
        HostId host;
        FailureDomainId failureDomain;
        bool isLeaving = false;
        bool isRelay = false;
        TimePoint liveUntil;
        /** Time until which a peer that was named but has sent no digest is assumed to be live. */
        TimePoint assumedLiveUntil;
        /** Time at which a digest is next sent to the peer while it is silent. */
        TimePoint retryAt;
        /** Time from which a silent peer counts as lost and is retried less often. */
        TimePoint lostAt;
        std::array<FeedPosition, feedTopicCount> nextPositions {};
        /** For each topic the time until which the peer's report is trusted. */
        std::array<TimePoint, feedTopicCount> freshUntil {};
    };

    /** The shape of the fleet and the role of this node in it, derived from all peers. */
    struct Topology
    {
        /** Peers in this node's failure domain that are presumed live. */
        std::size_t localPeers = 0;
        /** Peers in other failure domains that are presumed live. */
        std::size_t remotePeers = 0;
        bool isHierarchical = false;
        bool isRelay = false;
        TimePoint validUntil;

        std::size_t groupPeerCount() const
        {
            return this->isHierarchical ? this->localPeers : this->localPeers + this->remotePeers;
        }
    };

    struct ReceivedSummary
    {
        FleetSummary summary;
        TimePoint validUntil;
    };

    /** The latest end of trust in the reports of live peers whose next position of the topic satisfies `isTrusted`. */
    TimePoint latestFreshUntil(FeedTopic topic, const std::function<bool(const FeedPosition &)> &isTrusted) const;
    bool isLive(const Peer &peer) const;
    /** True if the peer is live, or was named recently and may be live. */
    bool isPresumedLive(const Peer &peer) const;
    bool isInGroup(const Peer &peer) const;
    /** Number of nodes in the current summaries. */
    std::size_t summarizedNodeCount() const;
    /** The topology, derived again if it is out of date or a peer's state has changed. */
    const Topology &currentTopology() const;
    void updateTopology() const;
    /** True if a digest should be sent to the peer now. Schedules the next attempt if the peer is silent. */
    bool shouldSendTo(Peer &peer, TimePoint now) const;
    std::vector<std::string> shuffled(std::vector<std::string> addresses) const;

    const Clock &clock;
    RandomSource &random;
    KnownHost self;
    std::size_t minimumNodeCount;
    TimePoint discoveryDeadline;
    mutable std::mutex mutex;
    std::map<std::string, Peer> peers;
    /** The summaries by the failure domain of the relay that sent them. */
    std::map<FailureDomainId, ReceivedSummary> summaries;
    mutable Topology cachedTopology;
};

}
