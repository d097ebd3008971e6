#pragma once

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibGateway/PeerDigest.h>

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Lovageward {

/**
 * The other nodes by the address of their peer socket, found through seeds, the store and each other, and which of them read the
 * store for all. Thread-safe; its mutex is a leaf lock.
 */
class PeerTable
{
public:
    PeerTable(const Clock &clock, RandomSource &random, HostId ownHost, FailureDomainId ownDomain, std::string ownAddress);

    /** An address that was named by the settings, the store or a peer. Known addresses keep their state. */
    void learn(const std::string &address);

    /** A digest arrived from the address. Returns true if the peer wasn't heard before or for long. */
    bool heard(const std::string &address, const PeerDigest &digest);

    /**
     * Whether this node is one of the few that read the topic for all: the first of the live ones in a ranking that differs by topic. Without
     * live peers it is.
     */
    bool isReader(FeedTopic topic) const;

    /** Until then a live peer's read of the topic is fresh enough to rely on; a time in the past if there is none. */
    TimePoint coveredUntil(FeedTopic topic) const;

    /** Addresses to send to. A peer that was silent for long is only tried now and then. */
    std::vector<std::string> targets();

    /**
     * Live peers that are told of each change at once, because they place work on the same engines: those of the own failure domain, or all if
     * there are few.
     */
    std::vector<std::string> nearTargets() const;

    /** What was heard from a peer now counts until then. */
    TimePoint heardUntil() const;

    /** Some peers that were heard lately, in random order. */
    std::vector<std::string> live(std::size_t most) const;

    /** Peers that were heard lately and have read the topic further than to the offset, in random order. */
    std::vector<std::string> ahead(FeedTopic topic, std::uint64_t offset) const;

private:
    struct Peer
    {
        HostId host;
        FailureDomainId failureDomain;
        bool isLeaving = false;
        TimePoint liveUntil;
        /** Next try of a silent peer. */
        TimePoint tryAt;
        TimePoint forgetAt;
        std::array<std::uint64_t, feedTopicCount> nextOffsets {};
        /** The peer's reads are relied on until then. */
        std::array<TimePoint, feedTopicCount> coveredUntil {};
    };

    std::vector<std::string> shuffled(std::vector<std::string> addresses) const;

    const Clock &clock;
    RandomSource &random;
    HostId ownHost;
    FailureDomainId ownDomain;
    std::string ownAddress;
    mutable std::mutex mutex;
    std::map<std::string, Peer> peers;
};

}
