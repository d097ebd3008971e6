#include "GatewayFixture.h"

#include <LibGateway/StatedRateLimits.h>

#include <catch2/catch.hpp>

#include <algorithm>
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
    RequestPlacer placer { fixture.clock,  fixture.registry, fixture.loadTracker, fixture.tokenTimes,
                           fixture.health, fixture.refusals, fixture.rateLimits,  limiter,
                           fixture.picker, random,           fixture.fleet };
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
