#include "GatewayFixture.h"

#include <LibGateway/PeerDigest.h>
#include <LibGateway/UpstreamSpeedTracker.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Lovageward;

namespace {

constexpr IndirectLoad fiveRunsElsewhere { UpstreamLoad { 5, 15'000, 0, 5 }, 3'000, 2'500 };

ReportedLoad reportOf(std::uint32_t running, std::uint32_t waiting, std::optional<std::uint32_t> slowness = 100)
{
    return ReportedLoad { running, waiting, 24, slowness };
}

struct SpeedFixture
{
    ManualClock clock;
    LoadTracker loads { clock };
    UpstreamSpeedTracker speeds { clock, loads, false };
    UpstreamRecord engine = upstreamRecord("e1");

    SpeedFixture()
    {
        this->clock.advance(minutes(1));
    }

    UpstreamEstimate estimate(const IndirectLoad &indirect = fiveRunsElsewhere)
    {
        return this->speeds.estimate(this->engine, indirect);
    }

    RunId addRun()
    {
        return this->loads.addRun(this->engine.id, Footprint { 3000, 900, 1800 }, RunKind::Fresh);
    }

    UpstreamSpeedReport peerReport(std::uint32_t running, std::uint32_t waiting, Duration age) const
    {
        auto hash = LoadTracker::hashUpstreamId(this->engine.id);
        return UpstreamSpeedReport { hash, UpstreamSpeedTracker::hashBootId(this->engine.boot), running, waiting, 100U, age, false };
    }
};

}

TEST_CASE("Without a reported slowness in the pool, reports change nothing unless they apply to all pools")
{
    SpeedFixture fixture;
    CHECK_FALSE(fixture.speeds.recordReport(fixture.engine, reportOf(20, 5, std::nullopt), fixture.clock.now()));
    CHECK(fixture.estimate().indirectLoad.runs == 5);
    CHECK_FALSE(fixture.estimate().hasWaitingRequests);
    CHECK_FALSE(fixture.estimate().speed);
    CHECK(fixture.speeds.takeReports(ReportChannel::Group, 8).empty());
    auto other = upstreamRecord("e2");
    fixture.speeds.recordReport(other, reportOf(1, 0), fixture.clock.now());
    fixture.speeds.recordReport(fixture.engine, reportOf(20, 5, std::nullopt), fixture.clock.now());
    CHECK(fixture.estimate().indirectLoad.runs == 25);
    UpstreamSpeedTracker all(fixture.clock, fixture.loads, true);
    CHECK(all.recordReport(fixture.engine, reportOf(20, 5, std::nullopt), fixture.clock.now()));
    CHECK(all.estimate(fixture.engine, fiveRunsElsewhere).hasWaitingRequests);
}

// Guards against the measured fault: each node believed that an engine held 6 runs while nodes of four domains had sent it 10.
TEST_CASE("Requests that an engine reports beyond the known ones count as load, and known ones that start or end later are added or subtracted")
{
    SpeedFixture fixture;
    auto first = fixture.addRun();
    fixture.addRun();
    fixture.speeds.recordReport(fixture.engine, reportOf(11, 0), fixture.clock.now());
    CHECK(fixture.estimate().indirectLoad.runs == 9);
    CHECK(fixture.estimate().indirectLoad.peakTokens == Approx(27'000));
    fixture.clock.advance(milliseconds(100));
    fixture.addRun();
    CHECK(fixture.loads.load(fixture.engine.id).runs + fixture.estimate().indirectLoad.runs == 12);
    fixture.loads.removeRun(first);
    CHECK(fixture.loads.load(fixture.engine.id).runs + fixture.estimate().indirectLoad.runs == 11);
    // A report that arrives later describes the time before the third run.
    CHECK(fixture.speeds.recordPeerReport(fixture.peerReport(15, 0, milliseconds(49)), ReportOrigin::OtherDomain));
    CHECK(fixture.loads.load(fixture.engine.id).runs + fixture.estimate().indirectLoad.runs == 15);
    fixture.clock.advance(seconds(5));
    CHECK(fixture.estimate().indirectLoad.runs == 5);
}

TEST_CASE("A report of less load than the sums show counts at once and loses its weight within a second")
{
    SpeedFixture fixture;
    fixture.speeds.recordReport(fixture.engine, reportOf(0, 0), fixture.clock.now());
    CHECK(fixture.estimate().indirectLoad.runs == 0);
    CHECK(fixture.estimate().indirectLoad.peakTokens == Approx(0));
    fixture.clock.advance(milliseconds(1500));
    CHECK(fixture.estimate().indirectLoad.runs == 5);
}

TEST_CASE("An engine that reports waiting requests has no room until a later report, its completions or the age of the report contradict it")
{
    SpeedFixture fixture;
    auto run = fixture.addRun();
    CHECK(fixture.speeds.recordReport(fixture.engine, reportOf(8, 1), fixture.clock.now()));
    CHECK(fixture.estimate().hasWaitingRequests);
    SECTION("a later report")
    {
        fixture.speeds.recordReport(fixture.engine, reportOf(8, 0), fixture.clock.now());
        CHECK_FALSE(fixture.estimate().hasWaitingRequests);
    }
    SECTION("an older report doesn't")
    {
        fixture.clock.advance(milliseconds(200));
        CHECK_FALSE(fixture.speeds.recordPeerReport(fixture.peerReport(8, 0, milliseconds(300)), ReportOrigin::Group));
        CHECK(fixture.estimate().hasWaitingRequests);
    }
    SECTION("a completion")
    {
        fixture.clock.advance(milliseconds(10));
        fixture.loads.removeRun(run);
        CHECK_FALSE(fixture.estimate().hasWaitingRequests);
    }
    SECTION("a response whose head arrived before doesn't")
    {
        CHECK_FALSE(fixture.speeds.recordReport(fixture.engine, reportOf(8, 0), fixture.clock.now() - milliseconds(1)));
        CHECK(fixture.estimate().hasWaitingRequests);
    }
    SECTION("its age")
    {
        fixture.clock.advance(milliseconds(1900));
        CHECK(fixture.estimate().hasWaitingRequests);
        fixture.clock.advance(milliseconds(200));
        CHECK_FALSE(fixture.estimate().hasWaitingRequests);
    }
    SECTION("another process")
    {
        fixture.engine.boot = BootId("2");
        CHECK_FALSE(fixture.estimate().hasWaitingRequests);
        CHECK(fixture.estimate().indirectLoad.runs == 5);
    }
}

TEST_CASE("Implausible figures are ignored")
{
    SpeedFixture fixture;
    CHECK_FALSE(fixture.speeds.recordReport(fixture.engine, reportOf(1, 10'001), fixture.clock.now()));
    CHECK_FALSE(fixture.speeds.recordReport(fixture.engine, reportOf(1, 1, 0), fixture.clock.now()));
    CHECK_FALSE(fixture.speeds.recordReport(fixture.engine, reportOf(1, 1, 10'001), fixture.clock.now()));
    auto report = fixture.peerReport(10'001, 1, Duration(0));
    CHECK_FALSE(fixture.speeds.recordPeerReport(report, ReportOrigin::Group));
    CHECK_FALSE(fixture.estimate().speed);
}

// Guards against a momentary figure that is taken for the speed of a run of ten seconds, and against a mean that is counted twice.
TEST_CASE("A reported slowness returns to the mean with its age and counts only for the part of the work that it covers")
{
    SpeedFixture fixture;
    for (int report = 0; report < 200; ++report) {
        fixture.speeds.recordReport(fixture.engine, reportOf(1, 0, report % 6 == 0 ? 250 : 100), fixture.clock.now());
        fixture.clock.advance(seconds(1));
    }
    fixture.speeds.recordReport(fixture.engine, reportOf(1, 0, 250), fixture.clock.now());
    auto speed = fixture.estimate().speed;
    REQUIRE(speed);
    CHECK(speed->mean == Approx(1.25).margin(0.15));
    CHECK(speed->factorOver(milliseconds(1)) == Approx(2.5 / speed->mean).epsilon(0.02));
    CHECK(speed->factorOver(seconds(10)) == Approx(1).margin(0.05));
    fixture.clock.advance(milliseconds(1500));
    CHECK(fixture.estimate().speed->factorOver(milliseconds(1)) == Approx(1).margin(0.02));
    CHECK(UpstreamSpeed().factorOver(Duration(0)) == 1);
}

TEST_CASE("Reports to peers are bounded in number and rate, and those that show waiting requests come first")
{
    SpeedFixture fixture;
    std::size_t sent = 0;
    constexpr int rounds = 1000;
    for (int round = 0; round < rounds; ++round) {
        for (int engine = 0; engine < 40; ++engine) {
            auto isWaiting = engine == round % 40;
            fixture.speeds.recordReport(
                upstreamRecord(fmt::format("e{}", engine)), reportOf(5 + static_cast<std::uint32_t>(round % 7), isWaiting ? 2 : 0), fixture.clock.now());
        }
        auto reports = fixture.speeds.takeReports(ReportChannel::Group, 16);
        if (!reports.empty() && round == 0) {
            CHECK(reports.front().waiting == 2);
        }
        sent += reports.size();
        CHECK(reports.size() <= maximumSpeedReports);
        fixture.clock.advance(milliseconds(10));
    }
    CHECK(sent > 0);
    // 600 B/s to 16 peers over ten seconds, and one second's worth at once.
    CHECK(static_cast<double>(sent) * 24 * 16 <= 6'600);
    CHECK(fixture.speeds.takeReports(ReportChannel::ForwardToGroup, 16).empty());
}

TEST_CASE("Reports are sent on once, and those from other domains only to the group")
{
    SpeedFixture fixture;
    CHECK(fixture.speeds.recordPeerReport(fixture.peerReport(8, 1, milliseconds(20)), ReportOrigin::OtherDomain));
    CHECK_FALSE(fixture.speeds.recordPeerReport(fixture.peerReport(8, 1, milliseconds(20)), ReportOrigin::OtherDomain));
    CHECK(fixture.speeds.takeReports(ReportChannel::Group, 8).empty());
    CHECK(fixture.speeds.takeReports(ReportChannel::Relays, 8).empty());
    auto forwarded = fixture.speeds.takeReports(ReportChannel::ForwardToGroup, 8);
    REQUIRE(forwarded.size() == 1);
    CHECK(forwarded.front().isFromOtherDomain);
    CHECK(forwarded.front().age == milliseconds(20) + hopAgeAllowance);
    CHECK(fixture.speeds.takeReports(ReportChannel::ForwardToGroup, 8).empty());
    fixture.clock.advance(milliseconds(300));
    CHECK(fixture.speeds.recordPeerReport(fixture.peerReport(8, 0, milliseconds(20)), ReportOrigin::Group));
    CHECK(fixture.speeds.takeReports(ReportChannel::Relays, 8).size() == 1);
}

TEST_CASE("Reports survive the encoding of digests")
{
    SpeedFixture fixture;
    PeerDigest digest;
    digest.speedReports = { fixture.peerReport(8, 3, milliseconds(120)), fixture.peerReport(0, 0, Duration(0)) };
    digest.speedReports[1].slowness.reset();
    digest.speedReports[1].isFromOtherDomain = true;
    CHECK(decodeDigest(encodeDigest(digest)).speedReports == digest.speedReports);
}

TEST_CASE("A placement avoids an engine that reports waiting requests, and is rejected if all do")
{
    PlacementFixture fixture;
    auto busy = upstreamRecord("busy");
    fixture.registry.put(busy);
    fixture.speeds.recordReport(busy, reportOf(6, 2), fixture.clock.now());
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::NoRoom);
    fixture.registry.put(upstreamRecord("free", "b1"));
    CHECK(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("free"));
    fixture.speeds.recordReport(busy, reportOf(0, 0), fixture.clock.now());
    CHECK(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("busy"));
}

TEST_CASE("A long prompt goes to the engine that is not slow at the moment")
{
    PlacementFixture fixture;
    for (const auto *id : { "slow", "usual" }) {
        fixture.registry.put(upstreamRecord(id));
        fixture.speeds.recordReport(upstreamRecord(id), reportOf(2, 0, id == std::string("slow") ? 250 : 100), fixture.clock.now());
    }
    for (int run = 0; run < 20; ++run) {
        CHECK(fixture.placer.place(fixture.makeConstraints(2550, 8)).run.upstream.id == UpstreamId("usual"));
    }
}

// Guards against a choice by free slots alone: on a machine that is 2.5 times slower at the moment, a free slot is worth less than a short wait elsewhere.
TEST_CASE("A request to a plain service goes where its predicted response is earliest")
{
    PlacementFixture fixture;
    fixture.pool.engine.reset();
    auto service = [](const std::string &id, const std::string &domain) {
        auto record = upstreamRecord(id, domain);
        record.slots = 6;
        return record;
    };
    auto slow = service("slow", "a1");
    auto usual = service("usual", "a1");
    auto far = service("far", "b1");
    for (const auto &record : { slow, usual, far }) {
        fixture.registry.put(record);
        fixture.speeds.recordServiceTime(record, ReportedLoad { 1, 0, 6, 100 }, milliseconds(30));
    }
    auto placeWith = [&](std::uint32_t slowSlowness, std::uint32_t usualRequests) {
        fixture.speeds.recordReport(slow, ReportedLoad { 0, 0, 6, slowSlowness }, fixture.clock.now());
        fixture.speeds.recordReport(
            usual, ReportedLoad { std::min(usualRequests, 6U), usualRequests - std::min(usualRequests, 6U), 6, 100 }, fixture.clock.now());
        fixture.speeds.recordReport(far, ReportedLoad { 0, 0, 6, 100 }, fixture.clock.now());
        return fixture.placer.place(fixture.makeConstraints(0, 0)).run.upstream.id.value();
    };
    CHECK(placeWith(100, 3) == "slow");
    CHECK(placeWith(250, 3) == "usual");
    CHECK(placeWith(250, 12) == "slow");
    // Another region is 80 ms away, which is more than the wait here, unless the requests take long.
    slow.isDraining = true;
    fixture.registry.put(slow);
    CHECK(placeWith(100, 8) == "usual");
    for (int request = 0; request < 300; ++request) {
        fixture.speeds.recordServiceTime(usual, ReportedLoad { 1, 0, 6, 200 }, milliseconds(800));
        fixture.speeds.recordServiceTime(usual, ReportedLoad { 6, 3, 6, 100 }, milliseconds(1));
    }
    CHECK(placeWith(100, 8) == "far");
}

TEST_CASE("An upstream that reports a good figure and fails is judged by its failures")
{
    PlacementFixture fixture;
    for (const auto *id : { "fails", "works" }) {
        fixture.registry.put(upstreamRecord(id));
        fixture.speeds.recordReport(
            upstreamRecord(id), reportOf(id == std::string("fails") ? 0 : 4, 0, id == std::string("fails") ? 50 : 100), fixture.clock.now());
    }
    REQUIRE(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("fails"));
    for (int failure = 0; failure < 5; ++failure) {
        fixture.health.recordFailure(UpstreamId("fails"), 1);
    }
    CHECK(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("works"));
}
