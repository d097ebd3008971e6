#include <LibGateway/PeerDigest.h>

#include <LibGateway/RolloutReportCodec.h>
#include <LibGateway/UpstreamReportCodec.h>
#include <LibPeer/Compression.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Lovageward {

namespace {

/** Limit of the peers named in one digest. */
constexpr std::size_t maximumPeers = 8;

/** Limit of the areas, each a pool in a failure domain, in one summary. */
constexpr std::size_t maximumAreas = 128;

/** Limits of received counts. */
constexpr std::uint64_t maximumRuns = 1'000'000;
constexpr std::uint64_t maximumNodes = 100'000;

/** Largest time per token that is sent; longer ones are clamped. */
constexpr Duration maximumTokenTime = minutes(1);

/**
 * Number of values in a digest, and in those of older versions without roll-outs, eras, reported loads, outages, suspected parts, rate limits and leaving
 * upstreams.
 */
constexpr std::size_t fieldCount = 18;
constexpr std::size_t fieldCountWithoutRollouts = 17;
constexpr std::size_t fieldCountWithoutEras = 16;
constexpr std::size_t fieldCountWithoutSpeedReports = 15;
constexpr std::size_t fieldCountWithoutStoreOutages = 14;
constexpr std::size_t fieldCountWithoutSuspectedParts = 13;
constexpr std::size_t fieldCountWithoutRateLimits = 12;
constexpr std::size_t fieldCountWithoutLeavingUpstreams = 11;

/** Number of topics in digests of versions without roll-outs. */
constexpr std::size_t topicsWithoutStatus = 2;

/** Shortest interval of full states, which make up for lost load changes. */
constexpr Duration minimumInterval = milliseconds(250);

/** Limits the full states that a node sends to 7 per second, about 2 KB. Load changes are sent promptly in between. */
constexpr Duration intervalPerPeer = milliseconds(150);

/** Shortest time after which a silent peer counts as unreachable. */
constexpr Duration minimumPeerTimeout = seconds(3);

/** Largest read age that is sent; longer ones are clamped. */
constexpr Duration maximumReadAge = minutes(1);

/** Largest age of the start of an outage that is sent; longer ones are clamped. */
constexpr Duration maximumOutageAge = minutes(60);

std::vector<UpstreamLoadReport> selectLargestShares(std::vector<UpstreamLoadReport> shares)
{
    if (shares.size() > maximumShares) {
        std::sort(shares.begin(), shares.end(), [](const auto &left, const auto &right) { return left.load.peakTokens > right.load.peakTokens; });
        shares.resize(maximumShares);
    }
    return shares;
}

void writeLoad(MessageWriter &writer, const UpstreamLoad &load)
{
    writer.number(load.runs);
    writer.number(static_cast<std::uint64_t>(std::max(0.0, load.peakTokens)));
    writer.number(static_cast<std::uint64_t>(std::max(0.0, load.pendingPrefillTokens)));
    writer.number(load.decodingRuns);
}

UpstreamLoad readLoad(MessageReader &reader)
{
    UpstreamLoad load;
    load.runs = static_cast<std::uint32_t>(reader.number(maximumRuns));
    load.peakTokens = static_cast<double>(reader.number());
    load.pendingPrefillTokens = static_cast<double>(reader.number());
    load.decodingRuns = static_cast<std::uint32_t>(reader.number(maximumRuns));
    return load;
}

/** An empty array stands for no summary. */
void writeSummary(MessageWriter &writer, const std::optional<FleetSummary> &summary)
{
    if (!summary) {
        writer.array(0);
        return;
    }
    auto areas = std::min(summary->areas.size(), maximumAreas);
    writer.array(3).number(summary->nodeCount).array(areas);
    for (std::size_t position = 0; position < areas; ++position) {
        const auto &area = summary->areas[position];
        writer.array(6).text(area.domain.value()).text(area.pool.value());
        writeLoad(writer, area.load);
    }
    auto upstreams = std::min(summary->upstreams.size(), maximumSummaryUpstreams);
    writer.array(upstreams);
    for (std::size_t position = 0; position < upstreams; ++position) {
        writer.array(5).number(summary->upstreams[position].upstreamHash);
        writeLoad(writer, summary->upstreams[position].load);
    }
}

std::optional<FleetSummary> readSummary(MessageReader &reader)
{
    std::optional<FleetSummary> summary;
    auto fields = reader.beginArray(0, maximumDigestFields);
    if (fields >= 2) {
        summary.emplace();
        summary->nodeCount = static_cast<std::size_t>(reader.number(maximumNodes));
        summary->areas.resize(reader.beginArray(0, maximumAreas));
        for (auto &area : summary->areas) {
            reader.beginArray(6, maximumDigestFields);
            area.domain = FailureDomainId(reader.text());
            area.pool = PoolId(reader.text());
            area.load = readLoad(reader);
            reader.endArray();
        }
        reader.endArray();
    }
    if (fields >= 3) {
        summary->upstreams.resize(reader.beginArray(0, maximumSummaryUpstreams));
        for (auto &upstream : summary->upstreams) {
            reader.beginArray(5, maximumDigestFields);
            upstream.upstreamHash = reader.number();
            upstream.load = readLoad(reader);
            reader.endArray();
        }
        reader.endArray();
    }
    reader.endArray();
    return summary;
}

std::string encodeRecords(const std::vector<FeedRecord> &records)
{
    MessageWriter writer;
    writer.array(records.size());
    for (const auto &record : records) {
        writer.array(3).text(record.key).bytes(record.value).number(record.offset);
    }
    return deflated(writer.encoded());
}

std::vector<FeedRecord> decodeRecords(std::string_view bytes)
{
    auto inflatedBytes = inflated(bytes, maximumPeerMessageBytes);
    MessageReader reader(inflatedBytes);
    std::vector<FeedRecord> records(reader.beginArray(0, maximumBatchBytes));
    for (auto &record : records) {
        reader.beginArray(3, maximumDigestFields);
        record.key = reader.text(maximumBatchBytes);
        record.value = reader.bytes(maximumBatchBytes);
        record.offset = reader.number();
        reader.endArray();
    }
    reader.endArray();
    return records;
}

/** An empty array stands for no batch. */
void writeBatch(MessageWriter &writer, const PeerDigest &digest)
{
    if (!digest.batch) {
        writer.array(0);
        return;
    }
    const auto &batch = *digest.batch;
    writer.array(6).number(static_cast<std::uint64_t>(batch.topic)).number(batch.firstOffset).number(batch.page.nextOffset);
    writer.flag(digest.isBatchForGroup).bytes(encodeRecords(batch.page.records)).number(batch.page.era.value());
}

void readBatch(MessageReader &reader, PeerDigest &digest)
{
    auto fields = reader.beginArray(0, maximumDigestFields);
    if (fields >= 5) {
        auto &batch = digest.batch.emplace();
        batch.topic = static_cast<FeedTopic>(reader.number(feedTopicCount - 1));
        batch.firstOffset = reader.number();
        batch.page.nextOffset = reader.number();
        digest.isBatchForGroup = reader.flag();
        batch.page.records = decodeRecords(reader.bytes(maximumDigestBytes));
        batch.page.era = StoreEra(fields >= 6 ? reader.number() : 0);
        for (auto &record : batch.page.records) {
            record.era = batch.page.era;
        }
    }
    reader.endArray();
}

/** An empty array stands for no outage of the topic. */
void writeStoreOutages(MessageWriter &writer, const PeerDigest &digest)
{
    writer.array(digest.storeOutages.size());
    for (const auto &outage : digest.storeOutages) {
        writer.array(outage ? 2 : 0);
        if (outage) {
            writeAge(writer, outage->startAge, maximumOutageAge);
            writeAge(writer, outage->endAge, maximumOutageAge);
        }
    }
}

/** The known era, followed by the era of each topic. */
void writeEras(MessageWriter &writer, const PeerDigest &digest)
{
    writer.array(1 + digest.eras.size()).number(digest.knownEra.value());
    for (auto era : digest.eras) {
        writer.number(era.value());
    }
}

/** A sender that follows fewer topics sends fewer eras. */
void readEras(MessageReader &reader, PeerDigest &digest)
{
    auto count = reader.beginArray(1, maximumDigestFields);
    digest.knownEra = StoreEra(reader.number());
    for (std::size_t topic = 0; topic < std::min(count - 1, digest.eras.size()); ++topic) {
        digest.eras[topic] = StoreEra(reader.number());
    }
    reader.endArray();
}

void readStoreOutages(MessageReader &reader, PeerDigest &digest)
{
    auto topics = reader.beginArray(topicsWithoutStatus, maximumDigestFields);
    for (std::size_t topic = 0; topic < std::min(topics, feedTopicCount); ++topic) {
        auto &outage = digest.storeOutages[topic];
        if (reader.beginArray(0, maximumDigestFields) >= 2) {
            outage.emplace();
            outage->startAge = readAge(reader, maximumOutageAge);
            outage->endAge = readAge(reader, maximumOutageAge);
        }
        reader.endArray();
    }
    reader.endArray();
}

}

Duration fullStateInterval(std::size_t peers)
{
    return std::max<Duration>(minimumInterval, intervalPerPeer * static_cast<int>(peers));
}

Duration peerTimeout(std::size_t peers)
{
    return std::max<Duration>(minimumPeerTimeout, 3 * fullStateInterval(peers));
}

std::string encodeDigest(const PeerDigest &digest)
{
    MessageWriter writer;
    writer.array(fieldCount).text(digest.host.value()).text(digest.failureDomain.value()).flag(digest.isLeaving).flag(digest.isRelay);
    writer.array(digest.nextOffsets.size());
    for (auto offset : digest.nextOffsets) {
        writer.number(offset);
    }
    writer.array(digest.readAges.size());
    for (auto age : digest.readAges) {
        writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(age, Duration(0), maximumReadAge) / milliseconds(1)));
    }
    writer.number(static_cast<std::uint64_t>(digest.loadScope));
    auto shares = selectLargestShares(digest.shares);
    writer.array(shares.size());
    for (const auto &share : shares) {
        writer.array(6).number(share.upstreamHash);
        writeLoad(writer, share.load);
        writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(share.tokenTime, Duration(0), maximumTokenTime).count()));
    }
    auto peers = std::min(digest.knownPeers.size(), maximumPeers);
    writer.array(peers);
    for (std::size_t position = 0; position < peers; ++position) {
        const auto &peer = digest.knownPeers[position];
        writer.array(3).text(peer.host.value()).text(peer.failureDomain.value()).text(peer.address);
    }
    writeSummary(writer, digest.summary);
    writeBatch(writer, digest);
    writeLeavingUpstreams(writer, digest.leavingUpstreams);
    writeRateLimits(writer, digest.rateLimits);
    writeSuspectedParts(writer, digest.suspectedParts);
    writeStoreOutages(writer, digest);
    writeSpeedReports(writer, digest.speedReports);
    writeEras(writer, digest);
    writeRolloutReports(writer, digest.rollouts);
    return writer.encoded();
}

PeerDigest decodeDigest(std::string_view bytes)
{
    MessageReader reader(bytes);
    PeerDigest digest;
    auto fields = reader.beginArray(fieldCountWithoutLeavingUpstreams, maximumDigestFields);
    digest.host = HostId(reader.text());
    digest.failureDomain = FailureDomainId(reader.text());
    digest.isLeaving = reader.flag();
    digest.isRelay = reader.flag();
    auto offsets = reader.beginArray(topicsWithoutStatus, maximumDigestFields);
    for (std::size_t topic = 0; topic < std::min(offsets, feedTopicCount); ++topic) {
        digest.nextOffsets[topic] = reader.number();
    }
    reader.endArray();
    digest.readAges.fill(maximumReadAge);
    auto ages = reader.beginArray(topicsWithoutStatus, maximumDigestFields);
    for (std::size_t topic = 0; topic < std::min(ages, feedTopicCount); ++topic) {
        digest.readAges[topic] = milliseconds(reader.number(static_cast<std::uint64_t>(maximumReadAge / milliseconds(1))));
    }
    reader.endArray();
    digest.loadScope = static_cast<LoadScope>(reader.number(static_cast<std::uint64_t>(LoadScope::Full)));
    digest.shares.resize(reader.beginArray(0, maximumShares));
    for (auto &share : digest.shares) {
        reader.beginArray(6, maximumDigestFields);
        share.upstreamHash = reader.number();
        share.load = readLoad(reader);
        share.tokenTime = Duration(reader.number(static_cast<std::uint64_t>(maximumTokenTime.count())));
        reader.endArray();
    }
    reader.endArray();
    digest.knownPeers.resize(reader.beginArray(0, maximumPeers));
    for (auto &peer : digest.knownPeers) {
        reader.beginArray(3, maximumDigestFields);
        peer.host = HostId(reader.text());
        peer.failureDomain = FailureDomainId(reader.text());
        peer.address = reader.text();
        reader.endArray();
    }
    reader.endArray();
    digest.summary = readSummary(reader);
    readBatch(reader, digest);
    if (fields >= fieldCountWithoutRateLimits) {
        digest.leavingUpstreams = readLeavingUpstreams(reader);
    }
    if (fields >= fieldCountWithoutSuspectedParts) {
        digest.rateLimits = readRateLimits(reader);
    }
    if (fields >= fieldCountWithoutStoreOutages) {
        digest.suspectedParts = readSuspectedParts(reader);
    }
    if (fields >= fieldCountWithoutSpeedReports) {
        readStoreOutages(reader, digest);
    }
    if (fields >= fieldCountWithoutEras) {
        digest.speedReports = readSpeedReports(reader);
    }
    if (fields >= fieldCountWithoutRollouts) {
        readEras(reader, digest);
    }
    if (fields >= fieldCount) {
        digest.rollouts = readRolloutReports(reader);
    }
    reader.endArray();
    return digest;
}

}
