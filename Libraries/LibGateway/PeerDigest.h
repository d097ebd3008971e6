#pragma once

#include <LibCore/Ids.h>
#include <LibGateway/LoadBook.h>
#include <LibGateway/StateFeed.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** What a node tells its peers a few times a second: always its whole state, so that a lost datagram is replaced by the next one. */
struct PeerDigest
{
    HostId host;
    FailureDomainId failureDomain;
    /** The sender ends and takes no more work. */
    bool isLeaving = false;
    /** How far the sender has read each topic. */
    std::array<std::uint64_t, feedTopicCount> nextOffsets {};
    /** Time since the sender's last answer of the store for each topic. */
    std::array<Duration, feedTopicCount> readAges {};
    std::vector<LoadShare> shares;
    /** "IP:port" of peers that the sender hears, some at a time. */
    std::vector<std::string> peers;
};

/** Pause between two digests to all of so many peers: it grows, so that a node receives about 50 digests a second at the most. */
Duration digestInterval(std::size_t peers);

/** A peer that wasn't heard for so long is gone or cut off; two digests may be lost before. */
Duration digestLifetime(std::size_t peers);

/** msgpack, at most one datagram. */
std::string encodeDigest(const PeerDigest &digest);

/** Throws Error(MalformedMessage). */
PeerDigest decodeDigest(std::string_view bytes);

}
