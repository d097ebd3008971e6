#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/PeerDigest.h>
#include <LibGateway/RolloutEvidence.h>
#include <LibPeer/MessageWriter.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

const RouteId route("r");

RolloutReport makeReport(std::uint64_t process, std::uint64_t responses, RolloutScope scope = RolloutScope::Process)
{
    RolloutReport report;
    report.pool = PoolId("p");
    report.order = RolloutOrderId(5);
    report.target = UpstreamVersion("v2");
    report.process = process;
    report.scope = scope;
    report.totals[RolloutEvidence::hashRoute(route)].target.responses = responses;
    return report;
}

std::uint64_t targetResponses(const RolloutTotals &totals)
{
    return totals.empty() ? 0 : totals.begin()->second.target.responses;
}

}

// Guards against fields that get lost between nodes, and against reports that no longer fit into a datagram.
TEST_CASE("Roll-out reports pass a digest unchanged and fit into it beside a batch")
{
    PeerDigest digest;
    digest.host = HostId("front-1");
    for (std::uint64_t pool = 0; pool < maximumRolloutReports; ++pool) {
        auto report = makeReport(7, 12);
        report.phase = RolloutPhase::Promoting;
        report.stage = 2;
        report.age = milliseconds(1500);
        report.nodeCount = 3;
        report.baselineRuns = 4;
        for (std::uint64_t other = 1; other < maximumRolloutRoutes; ++other) {
            report.totals[other].baseline = RolloutCounts { 60'000, 5, 60'000, 7, 60'000, 9 };
        }
        digest.rollouts.push_back(report);
    }
    auto bytes = encodeDigest(digest);
    CHECK(bytes.size() < maximumDigestBytes - 4'900);
    auto decoded = decodeDigest(bytes);
    REQUIRE(decoded.rollouts.size() == maximumRolloutReports);
    const auto &report = decoded.rollouts.front();
    CHECK(report.pool == PoolId("p"));
    CHECK(report.order == RolloutOrderId(5));
    CHECK(report.target == UpstreamVersion("v2"));
    CHECK(report.phase == RolloutPhase::Promoting);
    CHECK(report.stage == 2);
    CHECK(report.age == milliseconds(1500));
    CHECK(report.process == 7);
    CHECK(report.nodeCount == 3);
    CHECK(report.baselineRuns == 4);
    CHECK(report.totals == digest.rollouts.front().totals);
}

// Guards against a new node that can't read the digests of nodes which know two topics and no roll-outs, as in a rolling upgrade.
TEST_CASE("A digest without roll-outs and with two topics is read")
{
    MessageWriter writer;
    writer.array(15).text("front-1").text("a1").flag(false).flag(false);
    writer.array(2).number(7).number(9);
    writer.array(2).number(20).number(30);
    writer.number(0).array(0).array(0).array(0).array(0).array(0).array(0).array(0);
    writer.array(2).array(0).array(0);
    auto digest = decodeDigest(writer.encoded());
    CHECK(digest.nextOffsets[1] == 9);
    CHECK(digest.readAges[0] == milliseconds(20));
    // The sender says nothing about reports, so it must not count as having confirmed them.
    CHECK(digest.nextOffsets[2] == 0);
    CHECK(digest.readAges[2] >= seconds(60));
    CHECK(digest.rollouts.empty());
}

// Guards against evidence that is counted twice or lost when digests are repeated, reordered or lost, or a node restarts.
TEST_CASE("Counts of peers are added once per process, in any order")
{
    ManualClock clock;
    RolloutEvidence evidence(clock, 1);
    FailureDomainId domain("a1");
    evidence.recordStart(route, RolloutSide::Target, milliseconds(10), true);
    evidence.merge(makeReport(2, 5), domain);
    evidence.merge(makeReport(2, 3), domain);
    evidence.merge(makeReport(2, 5), domain);
    // The report of this node's own process, sent back by a peer.
    evidence.merge(makeReport(1, 100), domain);
    CHECK(targetResponses(evidence.group()) == 6);
    // The node restarts: its process begins with zero, the counts of the old one stay.
    evidence.merge(makeReport(3, 1), domain);
    CHECK(targetResponses(evidence.group()) == 7);
    // Two relays of one domain, of which one knows less.
    evidence.merge(makeReport(8, 20, RolloutScope::Domain), FailureDomainId("b1"));
    evidence.merge(makeReport(9, 18, RolloutScope::Domain), FailureDomainId("b1"));
    evidence.merge(makeReport(8, 25, RolloutScope::OtherDomains), domain);
    CHECK(targetResponses(evidence.reportedDomains()) == 20);
    CHECK(targetResponses(evidence.all()) == 32);
    CHECK(evidence.coverage().nodeCount == 3);
    clock.advance(seconds(4));
    CHECK(evidence.coverage().nodeCount == 0);
    CHECK(targetResponses(evidence.all()) == 32);
}

// Guards against a burst or a slow domain that makes a sound version look slow, and against callers that leave and take the evidence with them.
TEST_CASE("Responses count as slow by comparison with the other version's responses of the same seconds")
{
    ManualClock clock;
    RolloutEvidence evidence(clock, 1);
    auto counts = [&] { return evidence.own().begin()->second; };
    evidence.recordStart(route, RolloutSide::Target, seconds(9), true);
    CHECK(counts().target.starts == 0);
    for (int sample = 0; sample < 20; ++sample) {
        evidence.recordStart(route, RolloutSide::Baseline, milliseconds(100), true);
    }
    evidence.recordStart(route, RolloutSide::Target, milliseconds(300), true);
    evidence.recordStart(route, RolloutSide::Target, milliseconds(150), true);
    evidence.recordStart(route, RolloutSide::Target, seconds(9), false);
    CHECK(counts().target.starts == 2);
    CHECK(counts().target.slowStarts == 1);
    evidence.recordAbandoned(route, RolloutSide::Target, milliseconds(50));
    CHECK(counts().target.starts == 2);
    evidence.recordAbandoned(route, RolloutSide::Target, seconds(2));
    CHECK(counts().target.slowStarts == 2);
    // A burst triples the latency of both versions.
    for (int second = 0; second < 12; ++second) {
        clock.advance(seconds(1));
        for (int sample = 0; sample < 5; ++sample) {
            evidence.recordStart(route, RolloutSide::Baseline, milliseconds(300), true);
        }
    }
    evidence.recordStart(route, RolloutSide::Target, milliseconds(300), true);
    CHECK(counts().target.slowStarts == 2);
}

// Guards against reports without bound where an order's pool is used by many routes.
TEST_CASE("Routes beyond the limit are counted together")
{
    ManualClock clock;
    RolloutEvidence evidence(clock, 1);
    for (int number = 0; number < 20; ++number) {
        evidence.recordFailure(RouteId("r" + std::to_string(number)), RolloutSide::Target);
    }
    CHECK(evidence.own().size() == maximumRolloutRoutes);
    CHECK(evidence.own().at(0).target.failures == 20 - (maximumRolloutRoutes - 1));
}
