#include <LibCore/ManualClock.h>
#include <LibCore/TokenBucket.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A token bucket never gives more than burst plus rate, so the shared link isn't overrun", "[core]")
{
    ManualClock clock;
    TokenBucket bucket(clock, 10, 5);
    int taken = 0;
    for (int step = 0; step < 100; ++step) {
        while (bucket.tryTake(1)) {
            ++taken;
        }
        clock.advance(milliseconds(100));
    }
    CHECK(taken == 5 + 99);
}

TEST_CASE("A debt delays later takers", "[core]")
{
    ManualClock clock;
    TokenBucket bucket(clock, 10, 5);
    bucket.take(15);
    CHECK_FALSE(bucket.tryTake(1));
    CHECK(bucket.availableAt(1) == clock.now() + milliseconds(1100));
    clock.advance(milliseconds(1100));
    CHECK(bucket.tryTake(1));
}
