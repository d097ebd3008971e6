#pragma once

#include <LibCore/Ids.h>
#include <LibGateway/FeedPiece.h>
#include <LibGateway/LoadBook.h>

#include <array>
#include <cstdint>
#include <optional>
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
    /** Records that the sender has just read from the store, at most largestPieceBytes. */
    std::optional<FeedPiece> piece;
};

/** Records in one digest, in bytes, so that a digest with the most shares fits a datagram of largestDigestBytes. */
inline constexpr std::size_t largestPieceBytes = 1200;
inline constexpr std::size_t largestDigestBytes = 4096;

/** Pause between two digests to all of so many peers: it grows, so that a node receives about 50 digests a second at the most. */
Duration digestInterval(std::size_t peers);

/** A peer that wasn't heard for so long is gone or cut off; two digests may be lost before. */
Duration digestLifetime(std::size_t peers);

/** msgpack, at most one datagram. */
std::string encodeDigest(const PeerDigest &digest);

/** Throws Error(MalformedMessage). */
PeerDigest decodeDigest(std::string_view bytes);

}
