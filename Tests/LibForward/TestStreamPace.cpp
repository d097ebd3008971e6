#include <LibCore/ManualClock.h>
#include <LibForward/StreamPace.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("The pace of a stream tells its first event, its longest pause and where it was")
{
    ManualClock clock;
    auto arrivedAt = clock.now();
    StreamPace pace(clock, arrivedAt);
    CHECK(pace.events() == 0);
    CHECK(pace.firstAfter() == Duration(0));
    clock.advance(milliseconds(900));
    pace.eventSent();
    for (auto pause : { 20, 250, 30 }) {
        clock.advance(milliseconds(pause));
        pace.eventSent();
    }
    CHECK(pace.events() == 4);
    CHECK(pace.firstAfter() == milliseconds(900));
    CHECK(pace.longestPause() == milliseconds(250));
    CHECK(pace.longestPauseBefore() == 3);
}
