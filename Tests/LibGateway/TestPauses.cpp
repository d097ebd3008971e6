#include "SimulatedFleet.h"

#include <LibGateway/PoolRetryBudgets.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

constexpr Duration pauseLength = seconds(7);

}

TEST_CASE("After a pause a node reports the age of its last store read and trusts no earlier peer report")
{
    SimulatedFleet fleet(20, 2, 0);
    fleet.writeUpstream("engine", "1");
    fleet.run(seconds(6));
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        auto &peer = fleet.at(node);
        fleet.clock.advance(pauseLength);
        peer.agent.announceLoadChange();
        for (const auto &outgoing : peer.agent.takeDueDigests()) {
            for (auto age : decodeDigest(outgoing.bytes).readAges) {
                CHECK(age >= pauseLength);
            }
        }
        CHECK(peer.peers.freshUntil(FeedTopic::Upstreams) <= fleet.clock.now());
    }
}

TEST_CASE("Records written while the readers were paused reach all nodes in time after they resume")
{
    SimulatedFleet fleet(40, 4, 0);
    fleet.writeUpstream("engine", "1");
    fleet.run(seconds(6));
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.at(node).isUp = !fleet.at(node).peers.isReader(FeedTopic::Upstreams);
    }
    fleet.run(pauseLength);
    fleet.writeUpstream("engine", "draining");
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.at(node).isUp = true;
    }
    fleet.run(milliseconds(2500));
    CHECK(fleet.countUpToDate(FeedTopic::Upstreams) == fleet.size());
}

TEST_CASE("A node accumulates no requests to a cold upstream during a pause: it may send one, and the next after a full interval")
{
    ManualClock clock;
    SeededRandom random(3);
    UpstreamRateLimiter limiter(clock, random);
    UpstreamId cold("cold");
    constexpr double requestsPerSecond = 10;
    constexpr std::size_t nodes = 7;
    // 0.7 of 10 requests per second are one per second for each of 7 nodes.
    limiter.tryAcquire(cold, requestsPerSecond, nodes);
    clock.advance(pauseLength);
    CHECK(limiter.tryAcquire(cold, requestsPerSecond, nodes));
    CHECK_FALSE(limiter.tryAcquire(cold, requestsPerSecond, nodes));
    clock.advance(milliseconds(990));
    CHECK_FALSE(limiter.tryAcquire(cold, requestsPerSecond, nodes));
    clock.advance(milliseconds(20));
    CHECK(limiter.tryAcquire(cold, requestsPerSecond, nodes));
}

TEST_CASE("Requests counted before a pause longer than the window allow no retries after it")
{
    ManualClock clock;
    FakeFleet fleet(1);
    PoolRetryBudgets allowance(clock, RetryBudgetLimits { 0.2, 10, seconds(10) }, fleet);
    PoolId pool("shop");
    for (int request = 0; request < 100; ++request) {
        allowance.countRequest(pool);
    }
    // The requests counted before the pause are out of the window, so only the floor allows retries.
    clock.advance(seconds(11));
    int retryCount = 0;
    while (allowance.tryRetry(pool)) {
        ++retryCount;
    }
    CHECK(retryCount == 8);
}
