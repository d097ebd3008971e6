#include "SimulatedFleet.h"

#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibGateway/PeerDigest.h>
#include <LibGateway/QueryOfDeathDetector.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace Lovageward;

namespace {

/** Time after which all nodes have to act on the fifth crash, and the requests that may still be sent then, as specified. */
constexpr Duration contactLimit = seconds(4);
constexpr std::size_t countedCrashes = 5;
constexpr std::size_t toleratedRequests = 3;

/** Longer than the time within which crashes count once. */
constexpr Duration pauseBetweenCrashes = milliseconds(150);

UpstreamRecord makeProcess(std::size_t number)
{
    UpstreamRecord upstream;
    upstream.id = UpstreamId(fmt::format("e{}", number));
    upstream.boot = BootId("1");
    return upstream;
}

std::vector<PromptPart> makeParts(std::initializer_list<std::string> ids)
{
    std::vector<PromptPart> parts;
    for (const auto &id : ids) {
        parts.push_back(PromptPart { id, TokenCount(100) });
    }
    return parts;
}

/** One node's detector with a clock of its own. */
struct DetectorFixture
{
    DetectorFixture()
    {
        this->clock.advance(minutes(60));
    }

    /** Records crashes of `count` processes, each under a request with the parts, with pauses in between. */
    void crash(std::size_t count, std::initializer_list<std::string> ids, Duration pause = pauseBetweenCrashes)
    {
        for (std::size_t crash = 0; crash < count; ++crash) {
            this->detector.recordCrash(makeProcess(this->crashCount++), makeParts(ids));
            this->clock.advance(pause);
        }
    }

    bool isQuarantined(std::initializer_list<std::string> ids) const
    {
        return this->detector.findQuarantine(makeParts(ids)).has_value();
    }

    ManualClock clock;
    QueryOfDeathDetector detector { this->clock };
    std::size_t crashCount = 0;
};

}

TEST_CASE("A part is quarantined after upstreams have crashed under it at three different times, for ten minutes after the last crash")
{
    DetectorFixture fixture;
    fixture.crash(2, { "system", "deadly" });
    CHECK_FALSE(fixture.isQuarantined({ "system", "deadly" }));
    fixture.crash(1, { "system", "deadly" });
    auto quarantine = fixture.detector.findQuarantine(makeParts({ "other", "deadly", "more" }));
    REQUIRE(quarantine);
    CHECK(quarantine->part == "deadly");
    CHECK(quarantine->until == fixture.clock.now() - pauseBetweenCrashes + minutes(10));
    CHECK_FALSE(fixture.isQuarantined({ "system", "sound" }));
    fixture.clock.advance(minutes(10));
    CHECK_FALSE(fixture.isQuarantined({ "system", "deadly" }));
}

TEST_CASE("Several interrupted requests of one process count as one crash")
{
    DetectorFixture fixture;
    for (int request = 0; request < 10; ++request) {
        fixture.detector.recordCrash(makeProcess(1), makeParts({ "popular" }));
        fixture.clock.advance(pauseBetweenCrashes);
    }
    CHECK_FALSE(fixture.isQuarantined({ "popular" }));
}

// Guards against a quarantine of popular parts when a rack or a link is lost, which ends the runs of many upstreams within a moment.
TEST_CASE("Upstreams that are lost at the same time don't quarantine the parts of their requests")
{
    DetectorFixture fixture;
    fixture.crash(40, { "system", "popular" }, milliseconds(2));
    CHECK_FALSE(fixture.isQuarantined({ "system", "popular" }));
}

TEST_CASE("A part with which runs have succeeded lately isn't quarantined, whether the success was before, between or after the crashes")
{
    for (std::size_t crashesBefore : { std::size_t(0), std::size_t(2), std::size_t(9) }) {
        CAPTURE(crashesBefore);
        DetectorFixture fixture;
        fixture.crash(crashesBefore, { "popular" });
        fixture.detector.recordSuccess(makeParts({ "popular" }));
        CHECK_FALSE(fixture.isQuarantined({ "popular" }));
        fixture.crash(9, { "popular" });
        CHECK_FALSE(fixture.isQuarantined({ "popular" }));
    }
}

TEST_CASE("A part that begins to crash upstreams is quarantined half a minute after its last success")
{
    DetectorFixture fixture;
    fixture.detector.recordSuccess(makeParts({ "changed" }));
    fixture.clock.advance(seconds(30));
    fixture.crash(3, { "changed" });
    CHECK(fixture.isQuarantined({ "changed" }));
}

// Guards against a quarantine of all requests that ran beside the deadly ones.
TEST_CASE("Parts of other requests that were interrupted by the same crashes aren't quarantined, even if they never succeeded")
{
    DetectorFixture fixture;
    for (std::size_t crash = 0; crash < 6; ++crash) {
        auto process = makeProcess(crash);
        fixture.detector.recordCrash(process, makeParts({ "system", "rare" }));
        fixture.detector.recordCrash(process, makeParts({ "system", fmt::format("single-{}", crash) }));
        if (crash != 2) {
            fixture.detector.recordCrash(process, makeParts({ "other", "popular" }));
        }
        fixture.detector.recordCrash(process, makeParts({ "system", "deadly" }));
        if (crash == 0) {
            // The first crash of "deadly" alone.
            fixture.detector.recordCrash(makeProcess(100), makeParts({ "system", "deadly" }));
        }
        fixture.clock.advance(pauseBetweenCrashes);
        fixture.detector.recordSuccess(makeParts({ "system" }));
    }
    CHECK(fixture.isQuarantined({ "system", "deadly" }));
    CHECK_FALSE(fixture.isQuarantined({ "system", "rare" }));
    CHECK_FALSE(fixture.isQuarantined({ "other", "popular" }));
    // Crashes that the quarantined part doesn't explain count.
    fixture.detector.recordSuccess(makeParts({ "other" }));
    fixture.crashCount = 200;
    fixture.crash(3, { "other", "second" });
    CHECK(fixture.isQuarantined({ "second" }));
    CHECK(fixture.isQuarantined({ "deadly" }));
}

TEST_CASE("A node learns crashes and successes from the reports of its peers")
{
    DetectorFixture fixture;
    QueryOfDeathDetector peer(fixture.clock);
    auto exchange = [&](const QueryOfDeathDetector &from, QueryOfDeathDetector &to, bool includeQuarantined) {
        PeerDigest digest;
        digest.suspectedParts = from.reports(seconds(3), includeQuarantined, maximumSuspectedParts);
        std::size_t changes = 0;
        for (const auto &report : decodeDigest(encodeDigest(digest)).suspectedParts) {
            changes += to.recordPeerReport(report) ? 1 : 0;
        }
        return changes;
    };
    auto isQuarantinedAtPeer = [&](const std::string &part) { return peer.findQuarantine(makeParts({ part })).has_value(); };
    // Each node sees a part of the crashes.
    fixture.crash(2, { "deadly" });
    CHECK(exchange(fixture.detector, peer, false) == 1);
    CHECK(exchange(fixture.detector, peer, false) == 0);
    CHECK_FALSE(isQuarantinedAtPeer("deadly"));
    peer.recordCrash(makeProcess(50), makeParts({ "deadly" }));
    CHECK(isQuarantinedAtPeer("deadly"));
    CHECK(exchange(peer, fixture.detector, false) == 1);
    CHECK(fixture.isQuarantined({ "deadly" }));
    // A node that starts later learns of the quarantine, while other reports end after some seconds.
    fixture.clock.advance(minutes(1));
    QueryOfDeathDetector newNode(fixture.clock);
    CHECK(exchange(fixture.detector, newNode, false) == 0);
    CHECK(exchange(fixture.detector, newNode, true) == 1);
    CHECK(newNode.findQuarantine(makeParts({ "deadly" })));
    // A success on one node contradicts the suspicion of another one.
    peer.recordSuccess(makeParts({ "popular" }));
    fixture.crash(3, { "popular" });
    CHECK(fixture.isQuarantined({ "popular" }));
    exchange(fixture.detector, peer, false);
    CHECK_FALSE(isQuarantinedAtPeer("popular"));
    CHECK(exchange(peer, fixture.detector, false) > 0);
    CHECK_FALSE(fixture.isQuarantined({ "popular" }));
}

TEST_CASE("The strongest suspicions are reported first, and their number is bounded")
{
    DetectorFixture fixture;
    fixture.crash(4, { "deadly" });
    for (int crash = 0; crash < 2'000; ++crash) {
        fixture.detector.recordCrash(makeProcess(1000), makeParts({ fmt::format("bystander-{}", crash) }));
    }
    auto reports = fixture.detector.reports(seconds(3), true, maximumSuspectedParts);
    REQUIRE(reports.size() == maximumSuspectedParts);
    CHECK(reports.front().crashes.size() == 4);
    CHECK(fixture.detector.reports(seconds(3), true, 10'000).size() <= 512);
    PeerDigest digest;
    digest.suspectedParts = reports;
    CHECK(encodeDigest(digest).size() < maximumDigestBytes);
}

// Guards against deadly requests that come at all nodes, each of which sees only some of the crashes.
TEST_CASE("All nodes of a fleet refuse deadly requests soon after the fifth crash, and only these")
{
    for (auto [nodes, domains] :
         { std::pair(std::size_t(9), std::size_t(3)), std::pair(std::size_t(100), std::size_t(6)), std::pair(std::size_t(340), std::size_t(6)) }) {
        CAPTURE(nodes);
        constexpr Duration requestInterval = milliseconds(100);
        constexpr std::size_t requestCount = 60;
        SimulatedFleet fleet(nodes, domains, 0.01);
        SeededRandom random(5);
        auto anyNode = [&]() -> SimulatedFleet::Node & {
            auto position = static_cast<std::size_t>(random.unit() * static_cast<double>(fleet.size()));
            return fleet.at(std::min(fleet.size() - 1, position));
        };
        auto recordCrash = [](SimulatedFleet::Node &node, const UpstreamRecord &process, std::initializer_list<std::string> parts) {
            if (node.queriesOfDeath.recordCrash(process, makeParts(parts))) {
                node.agent.announceUpstreamNotice();
            }
        };
        fleet.run(seconds(8));
        std::size_t crashes = 0;
        std::size_t lateRequests = 0;
        std::size_t refusedSoundRequests = 0;
        TimePoint boundFrom;
        for (std::size_t request = 0; request < requestCount; ++request) {
            anyNode().queriesOfDeath.recordSuccess(makeParts({ "system" }));
            refusedSoundRequests += anyNode().queriesOfDeath.findQuarantine(makeParts({ "system", fmt::format("sound-{}", request) })) ? 1 : 0;
            auto &node = anyNode();
            if (!node.queriesOfDeath.findQuarantine(makeParts({ "system", "deadly" }))) {
                lateRequests += crashes >= countedCrashes && fleet.clock.now() > boundFrom ? 1 : 0;
                auto process = makeProcess(crashes++);
                boundFrom = crashes == countedCrashes ? fleet.clock.now() + contactLimit : boundFrom;
                recordCrash(node, process, { "system", "deadly" });
                recordCrash(anyNode(), process, { "system", fmt::format("bystander-{}", crashes % 4) });
            }
            fleet.run(requestInterval);
        }
        CHECK(crashes >= 3);
        CHECK(lateRequests <= toleratedRequests);
        CHECK(refusedSoundRequests == 0);
        // A node that has just started learns of the quarantine from its peers.
        fleet.restart(0);
        fleet.run(contactLimit);
        CHECK(fleet.at(0).queriesOfDeath.findQuarantine(makeParts({ "deadly" })));
    }
}
