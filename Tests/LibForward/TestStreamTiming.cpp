#include <LibCore/ManualClock.h>
#include <LibForward/StreamTiming.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("StreamTiming measures the time to the first event, the longest pause and its position, and the time since the first event")
{
    ManualClock clock;
    auto arrivedAt = clock.now();
    StreamTiming timing(clock, arrivedAt);
    CHECK(timing.eventCount() == 0);
    CHECK(timing.timeToFirstEvent() == Duration(0));
    clock.advance(milliseconds(900));
    timing.recordEvent();
    for (auto pause : { 20, 250, 30 }) {
        clock.advance(milliseconds(pause));
        timing.recordEvent();
    }
    CHECK(timing.eventCount() == 4);
    CHECK(timing.timeToFirstEvent() == milliseconds(900));
    CHECK(timing.longestPause() == milliseconds(250));
    CHECK(timing.eventAfterLongestPause() == 3);
    CHECK(timing.timeSinceFirstEvent() == milliseconds(300));
}
