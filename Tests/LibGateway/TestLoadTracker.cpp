#include "GatewayFixture.h"

#include <LibCore/Error.h>
#include <LibGateway/PeerDigest.h>
#include <LibPeer/Compression.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A run counts with its KV cache at its expected end until it is removed")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    UpstreamId engine("e1");
    auto run = tracker.addRun(engine, Footprint { 3000, 500, 1000 }, RunKind::Fresh);
    CHECK(tracker.load(engine).runs == 1);
    CHECK(tracker.load(engine).peakTokens == Approx(3500));
    CHECK(tracker.load(engine).pendingPrefillTokens == Approx(3000));

    tracker.recordProgress(run, 4);
    CHECK(tracker.load(engine).pendingPrefillTokens == Approx(0));
    CHECK(tracker.load(engine).peakTokens == Approx(3500));
    // The output is longer than expected, and then longer than the maximum, which limits the peak.
    tracker.recordProgress(run, 800);
    CHECK(tracker.load(engine).peakTokens == Approx(3800));
    tracker.recordProgress(run, 1200);
    CHECK(tracker.load(engine).peakTokens == Approx(4000));

    tracker.removeRun(run);
    tracker.removeRun(run);
    CHECK(tracker.load(engine).runs == 0);
    CHECK(tracker.load(engine).peakTokens == Approx(0));
    CHECK(tracker.localReports().empty());
}

TEST_CASE("A standby copy has no prompt to prefill")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    UpstreamId engine("e1");
    LoadReservation copy(tracker, engine, Footprint { 3000, 500, 1000 }, RunKind::StandbyCopy);
    CHECK(tracker.load(engine).pendingPrefillTokens == Approx(0));
    CHECK(tracker.load(engine).peakTokens == Approx(3500));
}

TEST_CASE("The reports of a peer count until they are replaced or expire")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    UpstreamId engine("e1");
    auto until = clock.now() + seconds(3);
    tracker.replacePeerReports(HostId("p1"), { UpstreamLoadReport { LoadTracker::hashUpstreamId(engine), UpstreamLoad { 2, 7000, 3000 } } }, until);
    tracker.replacePeerReports(HostId("p2"), { UpstreamLoadReport { LoadTracker::hashUpstreamId(engine), UpstreamLoad { 1, 4000, 0 } } }, until);
    CHECK(tracker.load(engine).runs == 3);
    CHECK(tracker.load(engine).peakTokens == Approx(11000));
    CHECK(tracker.load(engine).pendingPrefillTokens == Approx(3000));

    tracker.replacePeerReports(HostId("p1"), {}, until);
    CHECK(tracker.load(engine).runs == 1);

    clock.advance(seconds(3));
    CHECK(tracker.load(engine).runs == 0);
    CHECK(tracker.combinedReports().empty());
}

TEST_CASE("Loads of other domains' nodes at single upstreams count until they are replaced or expire, and aren't reported to the group again")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    UpstreamId engine("e1");
    UpstreamLoadReport report { LoadTracker::hashUpstreamId(engine), UpstreamLoad { 2, 7000, 3000 }, Duration(0) };
    tracker.replaceAggregateLoads({}, { report, report }, clock.now() + seconds(6));
    CHECK(tracker.remoteLoad(engine).runs == 4);
    CHECK(tracker.combinedReports().empty());
    tracker.replaceAggregateLoads({}, { report }, clock.now() + seconds(6));
    CHECK(tracker.remoteLoad(engine).peakTokens == Approx(7000));
    clock.advance(seconds(6));
    CHECK(tracker.remoteLoad(engine).runs == 0);
}

TEST_CASE("An update replaces a peer's reports on the listed upstreams only, and a report without runs removes the load")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    auto until = clock.now() + seconds(3);
    auto hash = [](const char *engine) { return LoadTracker::hashUpstreamId(UpstreamId(engine)); };
    tracker.replacePeerReports(HostId("p1"), { { hash("e1"), { 2, 7000, 0 } }, { hash("e2"), { 1, 3000, 0 } } }, until);
    tracker.updatePeerReports(HostId("p1"), { { hash("e1"), { 1, 4000, 500 } }, { hash("e3"), { 1, 100, 0 } } }, until);
    CHECK(tracker.load(UpstreamId("e1")).peakTokens == Approx(4000));
    CHECK(tracker.load(UpstreamId("e2")).runs == 1);
    CHECK(tracker.load(UpstreamId("e3")).runs == 1);
    tracker.updatePeerReports(HostId("p1"), { { hash("e2"), {} } }, until);
    CHECK(tracker.load(UpstreamId("e2")).runs == 0);
    CHECK(tracker.load(UpstreamId("e2")).peakTokens == Approx(0));
    CHECK(tracker.combinedReports().size() == 2);
}

TEST_CASE("Each change of the local load is taken once, including the removal of the last run of an upstream")
{
    ManualClock clock;
    LoadTracker tracker(clock);
    auto run = tracker.addRun(UpstreamId("e1"), Footprint { 3000, 500, 1000 }, RunKind::Fresh);
    tracker.addRun(UpstreamId("e2"), Footprint { 10, 5, 10 }, RunKind::Fresh);
    CHECK(tracker.takeChangedReports(1).size() == 1);
    CHECK(tracker.takeChangedReports(9).size() == 1);
    CHECK(tracker.takeChangedReports(9).empty());
    tracker.recordProgress(run, 1);
    CHECK(tracker.takeChangedReports(9).size() == 1);
    tracker.recordProgress(run, 2);
    CHECK(tracker.takeChangedReports(9).empty());
    tracker.removeRun(run);
    auto changes = tracker.takeChangedReports(9);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].upstreamHash == LoadTracker::hashUpstreamId(UpstreamId("e1")));
    CHECK(changes[0].load.runs == 0);
}

TEST_CASE("Digests of older versions without rate limits, suspected parts, outages, reported loads, eras and roll-outs, and of a newer one, are decoded")
{
    PeerDigest digest;
    digest.host = HostId("front-1");
    digest.leavingUpstreams = { { UpstreamId("e1"), BootId("1") } };
    auto bytes = encodeDigest(digest);
    // The digest is an array. Its last values are two empty arrays, an array with an empty array for each topic, an empty array, four eras, and an empty array.
    constexpr char arrayOf12 = '\x9c';
    constexpr char arrayOf13 = '\x9d';
    constexpr char arrayOf14 = '\x9e';
    constexpr char arrayOf15 = '\x9f';
    const std::string arrayOf16("\xdc\x00\x10", 3);
    const std::string arrayOf17("\xdc\x00\x11", 3);
    constexpr char emptyArray = '\x90';
    const std::string noOutages = "\x93\x90\x90\x90";
    const std::string arrayOf18("\xdc\x00\x12", 3);
    const std::string arrayOf19("\xdc\x00\x13", 3);
    const std::string noEras("\x94\x00\x00\x00\x00", 5);
    REQUIRE(bytes.starts_with(arrayOf18));
    REQUIRE(bytes.ends_with(std::string(2, emptyArray) + noOutages + emptyArray + noEras + emptyArray));
    auto values = bytes.substr(arrayOf18.size());
    auto newer = arrayOf19 + values + emptyArray;
    auto withoutRollouts = arrayOf17 + values.substr(0, values.size() - 1);
    auto withoutEras = arrayOf16 + values.substr(0, values.size() - 1 - noEras.size());
    auto withoutReportedLoads = arrayOf15 + values.substr(0, values.size() - 1 - noEras.size() - 1);
    auto withoutOutages = withoutReportedLoads.substr(0, withoutReportedLoads.size() - noOutages.size());
    withoutOutages.front() = arrayOf14;
    auto withoutSuspectedParts = withoutOutages.substr(0, withoutOutages.size() - 1);
    withoutSuspectedParts.front() = arrayOf13;
    auto withoutRateLimits = withoutOutages.substr(0, withoutOutages.size() - 2);
    withoutRateLimits.front() = arrayOf12;
    for (const auto &version : { withoutRateLimits, withoutSuspectedParts, withoutOutages, withoutReportedLoads, withoutEras, withoutRollouts, newer }) {
        auto decoded = decodeDigest(version);
        CHECK(decoded.host == HostId("front-1"));
        CHECK(decoded.leavingUpstreams == digest.leavingUpstreams);
        CHECK(decoded.rateLimits.empty());
        CHECK(decoded.suspectedParts.empty());
        CHECK(decoded.storeOutages == digest.storeOutages);
        CHECK(decoded.speedReports.empty());
        CHECK(decoded.knownEra == StoreEra());
    }
}

TEST_CASE("A digest is unchanged after encoding and decoding")
{
    PeerDigest digest;
    digest.host = HostId("front-1");
    digest.failureDomain = FailureDomainId("a1");
    digest.isLeaving = true;
    digest.nextOffsets = { 17, 4711 };
    digest.knownEra = StoreEra(3);
    digest.eras = { StoreEra(2), StoreEra(3) };
    digest.readAges = { milliseconds(250), Duration::max() };
    digest.shares = { UpstreamLoadReport { 42, UpstreamLoad { 3, 10'500, 2'000, 2 }, microseconds(7130) } };
    digest.knownPeers = { { HostId("front-2"), FailureDomainId("a1"), "10.0.0.1:7200" }, { HostId(), FailureDomainId(), "10.0.0.2:7200" } };
    digest.isRelay = true;
    digest.loadScope = LoadScope::Changes;
    digest.summary = FleetSummary { 42,
                                    { DomainPoolLoad { FailureDomainId("b1"), PoolId("engines"), UpstreamLoad { 7, 9'000, 100 } } },
                                    { UpstreamLoadReport { 43, UpstreamLoad { 4, 8'000, 200, 1 }, Duration(0) } } };
    CHECK_FALSE(decodeDigest(encodeDigest(digest)).batch);
    digest.batch = FeedBatch { FeedTopic::Upstreams, 5, { { { "e1", std::string("\0x", 2), 6 }, { "e2", "", 7 } }, 8, StoreEra(3) } };
    digest.isBatchForGroup = true;
    digest.leavingUpstreams = { { UpstreamId("e1"), BootId("1700000000000") }, { UpstreamId("e2"), BootId() } };
    digest.rateLimits = { { UpstreamId("e1"), BootId("1700000000000"), 3.25, milliseconds(40) }, { UpstreamId("e2"), BootId(), std::nullopt, seconds(2) } };
    digest.suspectedParts = { { 42, 1, { { 7, milliseconds(30) }, { 8, minutes(9) } }, std::nullopt }, { 43, 0, {}, seconds(3) } };
    digest.storeOutages[1] = StoreOutageReport { milliseconds(5100), milliseconds(700) };
    auto decoded = decodeDigest(encodeDigest(digest));
    REQUIRE(decoded.batch);
    CHECK(decoded.storeOutages == digest.storeOutages);
    CHECK(decoded.rateLimits == digest.rateLimits);
    CHECK(decoded.suspectedParts == digest.suspectedParts);
    CHECK(decoded.isBatchForGroup);
    CHECK(decoded.leavingUpstreams == digest.leavingUpstreams);
    CHECK(decoded.isRelay);
    CHECK(decoded.loadScope == LoadScope::Changes);
    REQUIRE(decoded.shares.size() == 1);
    CHECK(decoded.shares[0].load.decodingRuns == 2);
    CHECK(decoded.shares[0].tokenTime == microseconds(7130));
    REQUIRE(decoded.summary);
    CHECK(decoded.summary->nodeCount == 42);
    REQUIRE(decoded.summary->areas.size() == 1);
    CHECK(decoded.summary->areas[0].domain == FailureDomainId("b1"));
    CHECK(decoded.summary->areas[0].pool == PoolId("engines"));
    CHECK(decoded.summary->areas[0].load.runs == 7);
    REQUIRE(decoded.summary->upstreams.size() == 1);
    CHECK(decoded.summary->upstreams[0].upstreamHash == 43);
    CHECK(decoded.summary->upstreams[0].load.decodingRuns == 1);
    CHECK(decoded.batch->topic == FeedTopic::Upstreams);
    CHECK(decoded.batch->firstOffset == 5);
    CHECK(decoded.batch->page.nextOffset == 8);
    REQUIRE(decoded.batch->page.records.size() == 2);
    CHECK(decoded.batch->page.records[0].key == "e1");
    CHECK(decoded.batch->page.records[0].value == std::string("\0x", 2));
    CHECK(decoded.batch->page.records[1].position() == FeedPosition { StoreEra(3), 7 });
    CHECK(decoded.batch->page.nextPosition() == FeedPosition { StoreEra(3), 8 });
    CHECK(decoded.host == digest.host);
    CHECK(decoded.failureDomain == digest.failureDomain);
    CHECK(decoded.isLeaving);
    CHECK(decoded.nextOffsets == digest.nextOffsets);
    CHECK(decoded.knownEra == digest.knownEra);
    CHECK(decoded.eras == digest.eras);
    CHECK(decoded.readAges[0] == milliseconds(250));
    CHECK(decoded.readAges[1] >= seconds(10));
    REQUIRE(decoded.shares.size() == 1);
    CHECK(decoded.shares[0].upstreamHash == 42);
    CHECK(decoded.shares[0].load.runs == 3);
    CHECK(decoded.shares[0].load.peakTokens == Approx(10'500));
    CHECK(decoded.shares[0].load.pendingPrefillTokens == Approx(2'000));
    CHECK(decoded.knownPeers == digest.knownPeers);
}

TEST_CASE("The digest of a busy node fits into one datagram and contains the largest loads")
{
    PeerDigest digest;
    digest.host = HostId("front-1");
    for (std::uint64_t upstream = 0; upstream < 4000; ++upstream) {
        digest.shares.push_back(UpstreamLoadReport { upstream, UpstreamLoad { 1, static_cast<double>(upstream), 0 } });
    }
    auto bytes = encodeDigest(digest);
    CHECK(bytes.size() < 2048);
    digest.batch = FeedBatch { FeedTopic::Upstreams, 0, { { { "e1", std::string(maximumBatchBytes - 2, 'x'), 0 } }, 1 } };
    CHECK(encodeDigest(digest).size() < maximumDigestBytes);
    for (const auto &share : decodeDigest(bytes).shares) {
        CHECK(share.load.peakTokens >= 3900);
    }
}

TEST_CASE("Decoding bytes that are not a digest throws an Error")
{
    for (const std::string bytes : { "", "x", "\x93\x01\x02\x03" }) {
        CHECK_THROWS_AS(decodeDigest(bytes), Error);
    }
}

TEST_CASE("Decoding a corrupted digest either succeeds or throws an Error")
{
    PeerDigest digest;
    digest.host = HostId("front-1");
    digest.failureDomain = FailureDomainId("a1");
    digest.loadScope = LoadScope::Full;
    digest.shares = { UpstreamLoadReport { 42, UpstreamLoad { 3, 10'500, 2'000 } } };
    digest.knownPeers = { { HostId("front-2"), FailureDomainId("a1"), "10.0.0.1:7200" } };
    digest.summary = FleetSummary { 42,
                                    { DomainPoolLoad { FailureDomainId("b1"), PoolId("engines"), UpstreamLoad { 7, 9'000, 100 } } },
                                    { UpstreamLoadReport { 43, UpstreamLoad { 4, 8'000, 200, 1 }, Duration(0) } } };
    digest.batch = FeedBatch { FeedTopic::Upstreams, 5, { { { "e1", std::string(500, 'x'), 6 } }, 8 } };
    auto whole = encodeDigest(digest);
    SeededRandom random(17);
    std::size_t refused = 0;
    constexpr int rounds = 20'000;
    for (int round = 0; round < rounds; ++round) {
        auto bytes = whole;
        for (auto change = 1 + random.below(4); change > 0; --change) {
            auto position = random.below(bytes.size());
            switch (random.below(3)) {
            case 0:
                bytes[position] = static_cast<char>(random.below(256));
                break;
            case 1:
                bytes.resize(std::max<std::size_t>(position, 1));
                break;
            default:
                bytes.insert(position, 1, static_cast<char>(random.below(256)));
            }
        }
        try {
            decodeDigest(bytes);
        } catch (const Error &) {
            ++refused;
        }
    }
    CHECK(refused > 0);
}

TEST_CASE("Decompressing throws an Error if the result exceeds the size limit or the data is invalid or truncated")
{
    std::string repeated;
    repeated.resize(10'000'000, 'x');
    auto bomb = deflated(repeated);
    CHECK(bomb.size() < 100'000);
    CHECK_THROWS_AS(inflated(bomb, 1'000'000), Error);
    CHECK(inflated(bomb, 10'000'000).size() == 10'000'000);
    CHECK_THROWS_AS(inflated("not deflated", 100), Error);
    auto cut = deflated("a record of an upstream, and another record of an upstream");
    cut.resize(cut.size() / 2);
    CHECK_THROWS_AS(inflated(cut, 1000), Error);
}

TEST_CASE("The rate of digests is limited for any number of peers, and a peer expires after two or more missed digests")
{
    for (std::size_t peers : { 5, 65, 340 }) {
        CHECK(peerTimeout(peers) >= 2 * fullStateInterval(peers));
        CHECK(static_cast<double>(peers) / std::chrono::duration<double>(fullStateInterval(peers)).count() <= 6.7);
    }
    CHECK(peerTimeout(6) == seconds(3));
}
