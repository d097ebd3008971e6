#pragma once

#include <LibCore/Ids.h>
#include <LibGateway/FeedBatch.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/PromptPartReport.h>
#include <LibGateway/RolloutReport.h>
#include <LibGateway/StoreOutage.h>
#include <LibGateway/UpstreamRateLimitReport.h>
#include <LibGateway/UpstreamShutdownNotice.h>
#include <LibGateway/UpstreamSpeedReport.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Address of a node. Host and failure domain are empty if only the address is known. */
struct KnownHost
{
    HostId host;
    FailureDomainId failureDomain;
    /** "IP:port" of its peer socket. */
    std::string address;

    bool operator==(const KnownHost &) const = default;
};

/** Which upstreams the load shares of a digest cover. */
enum class LoadScope : std::uint8_t {
    /** The digest has no load shares. */
    None = 0,
    /** The upstreams whose load has changed; the load at others is as before. */
    Changes = 1,
    /** All upstreams at which the sender has work. */
    Full = 2,
};

/** Count and load of nodes whose digests the receiver doesn't get. */
struct FleetSummary
{
    std::size_t nodeCount = 0;
    /** Loads of the upstreams that `upstreams` doesn't name. */
    std::vector<DomainPoolLoad> areas;
    /** Loads of single upstreams, as far as they fit into a digest (see maximumSummaryUpstreams). */
    std::vector<UpstreamLoadReport> upstreams;
};

/**
 * The state that a node reports to its peers. Each value replaces the one of earlier digests, so a later datagram makes up for a lost one.
 */
struct PeerDigest
{
    HostId host;
    FailureDomainId failureDomain;
    /** The sender is shutting down and accepts no more work. */
    bool isLeaving = false;
    /** The sender is a relay of its failure domain (see PeerTable). */
    bool isRelay = false;
    /** For each topic the offset up to which the sender has read it. */
    std::array<std::uint64_t, feedTopicCount> nextOffsets {};
    /** For each topic the time since the store confirmed, to the sender or to one of its peers, that there are no records beyond the next offset. */
    std::array<Duration, feedTopicCount> readAges {};
    LoadScope loadScope = LoadScope::None;
    std::vector<UpstreamLoadReport> shares;
    /** Some live peers of the sender. */
    std::vector<KnownHost> knownPeers;
    /** Only from relays: the sender's own failure domain if sent to other domains, the sum of all other domains if sent within its own. */
    std::optional<FleetSummary> summary;
    /** Records that a reader has just read from the store. */
    std::optional<FeedBatch> batch;
    /** The receiver has to forward the batch to its own failure domain. */
    bool isBatchForGroup = false;
    /** Upstreams that recently announced their shutdown in a response, to the sender or to another node that reported it. */
    std::vector<UpstreamShutdownNotice> leavingUpstreams;
    /** Rate limits of upstreams that were recently new, changed or ended. */
    std::vector<UpstreamRateLimitReport> rateLimits;
    /** Prompt parts under which upstreams have crashed. */
    std::vector<PromptPartReport> suspectedParts;
    /** For each topic the outage of the store after which upstreams may still be missing from it. */
    std::array<std::optional<StoreOutageReport>, feedTopicCount> storeOutages {};
    /** Loads that upstreams have reported recently. */
    std::vector<UpstreamSpeedReport> speedReports;
    /** The highest era of the store that the sender knows of. */
    StoreEra knownEra;
    /** For each topic the era to which the next offset belongs; lower than the known era until the sender has listed the topic again. */
    std::array<StoreEra, feedTopicCount> eras {};

    /** The position up to which the sender has read the topic with this index. */
    FeedPosition nextPosition(std::size_t topic) const
    {
        return { this->eras[topic], this->nextOffsets[topic] };
    }
    /** State and evidence of running roll-outs. */
    std::vector<RolloutReport> rollouts;
};

/** Limit of the uncompressed keys and values in one digest, with which a digest fits into maximumDigestBytes. */
inline constexpr std::size_t maximumBatchBytes = 4800;

/** Limit of an encoded digest, which is one datagram. */
inline constexpr std::size_t maximumDigestBytes = 8192;

/** Limit of the values in an array of a digest to which newer versions can append. */
inline constexpr std::size_t maximumDigestFields = 64;

/** Limit of the load shares in one digest. A node uses few upstreams at a time; beyond the limit the largest shares are sent. */
inline constexpr std::size_t maximumShares = 64;

/**
 * Largest number of upstreams whose loads a summary names one by one; beyond it a summary has sums only. Nodes of other domains use the upstreams of a
 * domain as well, and place work badly if they know only the mean load. At 20 bytes each, the summaries of two relays take 4 KB/s of each node.
 */
inline constexpr std::size_t maximumSummaryUpstreams = 64;

/** Limit of the leaving upstreams in one digest; beyond it the newest are sent. */
inline constexpr std::size_t maximumLeavingUpstreams = 16;

/** Limit of the rate limits in one digest; beyond it the newest changes are sent. */
inline constexpr std::size_t maximumRateLimits = 16;

/** Limit of the reported loads of upstreams that are sent at a time, see UpstreamSpeedTracker. A digest contains at most twice as many, from two sources. */
inline constexpr std::size_t maximumSpeedReports = 16;

/** Limit of the suspected prompt parts in one digest; beyond it the strongest suspicions are sent. */
inline constexpr std::size_t maximumSuspectedParts = 8;

/** Age added to the ages in a digest on each hop, which is more than a datagram takes. Otherwise nodes that repeat each other's reports would make them
 * younger. */
inline constexpr Duration hopAgeAllowance = milliseconds(50);

/** Interval of the full states that a node sends to each of `peers` nodes. */
Duration fullStateInterval(std::size_t peers);

/** Time without a digest after which one of `peers` nodes counts as unreachable. Two lost digests don't reach it. */
Duration peerTimeout(std::size_t peers);

/** Encodes the digest as msgpack, in at most one datagram. */
std::string encodeDigest(const PeerDigest &digest);

/** Decodes a digest of this version or a compatible one. Throws Error(MalformedMessage). */
PeerDigest decodeDigest(std::string_view bytes);

}
