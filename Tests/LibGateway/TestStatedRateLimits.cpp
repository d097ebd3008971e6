#include "GatewayFixture.h"

#include <LibGateway/PeerDigest.h>
#include <LibGateway/StatedRateLimits.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <vector>

using namespace Lovageward;

namespace {

/** Window in which the requests to an upstream with a rate limit are counted. */
constexpr Duration countingWindow = seconds(4);

/** Requests in one window that an upstream accepts from all nodes together, as specified. */
double acceptedRequests(double requestsPerSecond)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return tolerance * requestsPerSecond * std::chrono::duration<double>(countingWindow).count() + slack;
}

std::size_t largestCountInWindow(std::vector<TimePoint> times)
{
    std::sort(times.begin(), times.end());
    std::size_t largest = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        auto end = std::upper_bound(first, times.end(), *first + countingWindow);
        largest = std::max(largest, static_cast<std::size_t>(end - first));
    }
    return largest;
}

/** One of several nodes that know the rate limit of an upstream. */
struct LimitedNode
{
    LimitedNode(std::size_t nodeCount, std::size_t seed, double requestsPerSecond) : random(seed)
    {
        this->fixture.fleet.count = nodeCount;
        this->fixture.registry.put(this->upstream);
        this->fixture.rateLimits.recordLimit(this->upstream, requestsPerSecond);
    }

    bool tryPlace()
    {
        return this->placer.place(this->fixture.makeConstraints(10, 1)).outcome == PickOutcome::Picked;
    }

    PlacementFixture fixture;
    UpstreamRecord upstream = upstreamRecord("limited");
    SeededRandom random;
    UpstreamRateLimiter limiter { fixture.clock, random };
    RequestPlacer placer { fixture.clock,      fixture.registry, fixture.loadTracker, fixture.tokenTimes, fixture.health, fixture.refusals,
                           fixture.rateLimits, limiter,          fixture.speeds,      fixture.picker,     random,         fixture.fleet };
};

}

TEST_CASE("A stated rate limit applies until the process responds without one to a request sent after the statement")
{
    ManualClock clock;
    StatedRateLimits limits(clock);
    auto upstream = upstreamRecord("e1");
    CHECK_FALSE(limits.limit(upstream));
    auto sentBefore = clock.now();
    clock.advance(milliseconds(10));
    CHECK(limits.recordLimit(upstream, 3.3));
    CHECK_FALSE(limits.recordLimit(upstream, 3.3));
    CHECK(limits.limit(upstream) == 3.3);
    CHECK(limits.recordLimit(upstream, 2));
    clock.advance(minutes(5));
    CHECK(limits.limit(upstream) == 2.0);
    // The response to this request may have been created before the limit.
    CHECK_FALSE(limits.recordUnlimited(upstream, sentBefore));
    CHECK(limits.limit(upstream) == 2.0);
    CHECK(limits.recordUnlimited(upstream, clock.now()));
    CHECK_FALSE(limits.limit(upstream));
    CHECK_FALSE(limits.recordUnlimited(upstream, clock.now()));
}

TEST_CASE("A stated rate limit doesn't apply to a later process with the same id")
{
    ManualClock clock;
    StatedRateLimits limits(clock);
    auto upstream = upstreamRecord("e1");
    limits.recordLimit(upstream, 3.3);
    auto restarted = upstream;
    restarted.boot = BootId("2");
    CHECK_FALSE(limits.limit(restarted));
    CHECK_FALSE(limits.recordUnlimited(restarted, clock.now()));
    CHECK(limits.limit(upstream) == 3.3);
}

TEST_CASE("A peer's report on a rate limit applies unless this node knows of a newer response")
{
    ManualClock clock;
    clock.advance(minutes(1));
    StatedRateLimits limits(clock);
    auto upstream = upstreamRecord("e1");
    auto report = [&](std::optional<double> requestsPerSecond, Duration age) {
        return UpstreamRateLimitReport { upstream.id, upstream.boot, requestsPerSecond, age };
    };
    CHECK(limits.recordPeerReport(report(3.3, milliseconds(10))));
    CHECK(limits.limit(upstream) == 3.3);
    clock.advance(seconds(1));
    CHECK(limits.recordLimit(upstream, 2));
    CHECK_FALSE(limits.recordPeerReport(report(3.3, milliseconds(20))));
    CHECK_FALSE(limits.recordPeerReport(report(std::nullopt, milliseconds(20))));
    CHECK(limits.limit(upstream) == 2.0);
    clock.advance(seconds(1));
    CHECK(limits.recordPeerReport(report(std::nullopt, milliseconds(20))));
    CHECK_FALSE(limits.limit(upstream));
    CHECK_FALSE(limits.recordPeerReport(report(2, milliseconds(900))));
    CHECK_FALSE(limits.limit(upstream));
}

TEST_CASE("A peer's report that repeats a limit with many decimals isn't a change")
{
    ManualClock clock;
    clock.advance(minutes(1));
    StatedRateLimits own(clock);
    StatedRateLimits peer(clock);
    own.recordLimit(upstreamRecord("e1"), 10.0 / 3);
    clock.advance(milliseconds(100));
    peer.recordLimit(upstreamRecord("e1"), 10.0 / 3);
    PeerDigest digest;
    digest.rateLimits = peer.recentChanges(9);
    REQUIRE(digest.rateLimits.size() == 1);
    CHECK_FALSE(own.recordPeerReport(decodeDigest(encodeDigest(digest)).rateLimits.front()));
    CHECK_FALSE(own.recordLimit(upstreamRecord("e1"), 10.0 / 3));
}

TEST_CASE("A rate limit of any size is recorded, reported and enforced")
{
    auto requestsPerSecond = GENERATE(0.0, 1e-300, 1e6, 1e9, 1e300, std::numeric_limits<double>::max());
    CAPTURE(requestsPerSecond);
    LimitedNode node(8, 1, requestsPerSecond);
    node.tryPlace();
    node.fixture.clock.advance(seconds(1));
    CHECK(node.tryPlace() == (requestsPerSecond > 1));
    PeerDigest digest;
    digest.rateLimits = node.fixture.rateLimits.recentChanges(1);
    CHECK(decodeDigest(encodeDigest(digest)).rateLimits == digest.rateLimits);
}

TEST_CASE("Changes of rate limits are reported to peers for a few seconds, newest first, repeated statements are not")
{
    ManualClock clock;
    StatedRateLimits limits(clock);
    for (const auto *id : { "e1", "e2" }) {
        limits.recordLimit(upstreamRecord(id), 2);
        clock.advance(seconds(1));
    }
    auto changes = limits.recentChanges(9);
    REQUIRE(changes.size() == 2);
    CHECK(changes.front() == UpstreamRateLimitReport { UpstreamId("e2"), BootId("1"), 2.0, seconds(1) });
    CHECK(limits.recentChanges(1).size() == 1);
    clock.advance(seconds(3));
    limits.recordLimit(upstreamRecord("e1"), 2);
    CHECK(limits.recentChanges(9).empty());
    limits.recordUnlimited(upstreamRecord("e1"), clock.now());
    REQUIRE(limits.recentChanges(9).size() == 1);
    CHECK_FALSE(limits.recentChanges(9).front().requestsPerSecond);
}

TEST_CASE("An upstream in trouble: all nodes together stay within its rate limit while each has more requests for it than it accepts")
{
    constexpr Duration simulatedTime = seconds(40);
    constexpr Duration tick = milliseconds(20);
    auto nodeCount = GENERATE(std::size_t(1), std::size_t(8), std::size_t(95), std::size_t(340));
    auto requestsPerSecond = GENERATE(0.3, 3.3, 40.0);
    CAPTURE(nodeCount, requestsPerSecond);
    std::vector<TimePoint> sentTimes;
    for (std::size_t seed = 1; seed <= nodeCount; ++seed) {
        LimitedNode node(nodeCount, seed, requestsPerSecond);
        for (Duration elapsed(0); elapsed < simulatedTime; elapsed += tick) {
            if (node.tryPlace()) {
                sentTimes.push_back(node.fixture.clock.now());
            }
            node.fixture.clock.advance(tick);
        }
    }
    CHECK(static_cast<double>(largestCountInWindow(sentTimes)) <= acceptedRequests(requestsPerSecond));
    // The limit isn't enforced by sending hardly any requests.
    CHECK(static_cast<double>(sentTimes.size()) > 0.4 * requestsPerSecond * std::chrono::duration<double>(simulatedTime).count());
}

// Guards against nodes that keep an unused permission during a lull and all send when traffic returns.
TEST_CASE("An upstream in trouble: all nodes together stay within its rate limit when traffic returns after a lull")
{
    constexpr Duration tick = milliseconds(20);
    auto nodeCount = GENERATE(std::size_t(8), std::size_t(95), std::size_t(340));
    auto requestsPerSecond = GENERATE(1.0, 3.3, 40.0);
    CAPTURE(nodeCount, requestsPerSecond);
    std::vector<TimePoint> sentTimes;
    for (std::size_t seed = 1; seed <= nodeCount; ++seed) {
        LimitedNode node(nodeCount, seed, requestsPerSecond);
        node.tryPlace();
        node.fixture.clock.advance(minutes(30));
        for (Duration elapsed(0); elapsed < countingWindow; elapsed += tick) {
            if (node.tryPlace()) {
                sentTimes.push_back(node.fixture.clock.now());
            }
            node.fixture.clock.advance(tick);
        }
    }
    CHECK(static_cast<double>(largestCountInWindow(sentTimes)) <= acceptedRequests(requestsPerSecond));
}

TEST_CASE("A rate limit that is raised or lowered applies at once, not after the interval between two requests at the earlier limit")
{
    constexpr std::size_t nodeCount = 8;
    LimitedNode node(nodeCount, 1, 0);
    node.tryPlace();
    auto countSent = [&](Duration time) {
        std::size_t sent = 0;
        for (Duration elapsed(0); elapsed < time; elapsed += milliseconds(10)) {
            sent += node.tryPlace() ? 1 : 0;
            node.fixture.clock.advance(milliseconds(10));
        }
        return sent;
    };
    // One request in ten seconds for all nodes together.
    CHECK(countSent(seconds(2)) <= 1);
    node.fixture.rateLimits.recordLimit(node.upstream, 80);
    CHECK(countSent(seconds(2)) >= 10);
    node.fixture.rateLimits.recordLimit(node.upstream, 0);
    CHECK(countSent(seconds(2)) <= 1);
}
