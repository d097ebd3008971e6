#include <LibGateway/PeerDigest.h>

#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Shares in one datagram; a node works at few upstreams at a time, and the largest shares matter most. */
constexpr std::size_t mostShares = 64;
constexpr std::size_t mostPeers = 8;

/** A placement should see what its peers placed before the engine has read the prompt. */
constexpr Duration shortestInterval = milliseconds(250);
constexpr Duration intervalPerPeer = milliseconds(20);

/** Shortest time after which a silent peer counts as gone. */
constexpr Duration shortestLifetime = seconds(3);

/** Older reads are told as this old. */
constexpr Duration longestAge = minutes(1);

std::vector<LoadShare> largestShares(std::vector<LoadShare> shares)
{
    if (shares.size() > mostShares) {
        std::sort(shares.begin(), shares.end(), [](const auto &left, const auto &right) { return left.load.peakTokens > right.load.peakTokens; });
        shares.resize(mostShares);
    }
    return shares;
}

/** An empty array stands for no piece. */
void writePiece(MessageWriter &writer, const std::optional<FeedPiece> &piece)
{
    if (!piece) {
        writer.array(0);
        return;
    }
    writer.array(4).number(static_cast<std::uint64_t>(piece->topic)).number(piece->firstOffset).number(piece->page.nextOffset);
    writer.array(piece->page.records.size());
    for (const auto &record : piece->page.records) {
        writer.array(3).text(record.key).bytes(record.value).number(record.offset);
    }
}

std::optional<FeedPiece> readPiece(MessageReader &reader)
{
    std::optional<FeedPiece> piece;
    if (reader.beginArray(0, 4) == 4) {
        piece.emplace();
        piece->topic = static_cast<FeedTopic>(reader.number(feedTopicCount - 1));
        piece->firstOffset = reader.number();
        piece->page.nextOffset = reader.number();
        piece->page.records.resize(reader.beginArray(0, largestPieceBytes));
        for (auto &record : piece->page.records) {
            reader.beginArray(3, 3);
            record.key = reader.text(largestPieceBytes);
            record.value = reader.bytes(largestPieceBytes);
            record.offset = reader.number();
            reader.endArray();
        }
        reader.endArray();
    }
    reader.endArray();
    return piece;
}

}

Duration digestInterval(std::size_t peers)
{
    return std::max<Duration>(shortestInterval, intervalPerPeer * static_cast<int>(peers));
}

Duration digestLifetime(std::size_t peers)
{
    return std::max<Duration>(shortestLifetime, 3 * digestInterval(peers));
}

std::string encodeDigest(const PeerDigest &digest)
{
    MessageWriter writer;
    writer.array(8).text(digest.host.value()).text(digest.failureDomain.value()).flag(digest.isLeaving);
    writer.array(digest.nextOffsets.size());
    for (auto offset : digest.nextOffsets) {
        writer.number(offset);
    }
    writer.array(digest.readAges.size());
    for (auto age : digest.readAges) {
        writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(age, Duration(0), longestAge) / milliseconds(1)));
    }
    auto shares = largestShares(digest.shares);
    writer.array(shares.size());
    for (const auto &share : shares) {
        writer.array(4).number(share.upstreamHash).number(share.load.runs);
        writer.number(static_cast<std::uint64_t>(std::max(0.0, share.load.peakTokens)));
        writer.number(static_cast<std::uint64_t>(std::max(0.0, share.load.unreadTokens)));
    }
    auto peers = std::min(digest.peers.size(), mostPeers);
    writer.array(peers);
    for (std::size_t position = 0; position < peers; ++position) {
        writer.text(digest.peers[position]);
    }
    writePiece(writer, digest.piece);
    return writer.encoded();
}

PeerDigest decodeDigest(std::string_view bytes)
{
    constexpr std::size_t mostFields = 64;
    constexpr std::uint64_t mostRuns = 1'000'000;
    MessageReader reader(bytes);
    PeerDigest digest;
    reader.beginArray(8, mostFields);
    digest.host = HostId(reader.text());
    digest.failureDomain = FailureDomainId(reader.text());
    digest.isLeaving = reader.flag();
    reader.beginArray(digest.nextOffsets.size(), mostFields);
    for (auto &offset : digest.nextOffsets) {
        offset = reader.number();
    }
    reader.endArray();
    reader.beginArray(digest.readAges.size(), mostFields);
    for (auto &age : digest.readAges) {
        age = milliseconds(reader.number(static_cast<std::uint64_t>(longestAge / milliseconds(1))));
    }
    reader.endArray();
    digest.shares.resize(reader.beginArray(0, mostShares));
    for (auto &share : digest.shares) {
        reader.beginArray(4, mostFields);
        share.upstreamHash = reader.number();
        share.load.runs = static_cast<std::uint32_t>(reader.number(mostRuns));
        share.load.peakTokens = static_cast<double>(reader.number());
        share.load.unreadTokens = static_cast<double>(reader.number());
        reader.endArray();
    }
    reader.endArray();
    digest.peers.resize(reader.beginArray(0, mostPeers));
    for (auto &peer : digest.peers) {
        peer = reader.text();
    }
    reader.endArray();
    digest.piece = readPiece(reader);
    reader.endArray();
    return digest;
}

}
