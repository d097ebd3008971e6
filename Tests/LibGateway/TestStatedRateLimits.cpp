#include "GatewayFixture.h"

#include <LibGateway/StatedRateLimits.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

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
