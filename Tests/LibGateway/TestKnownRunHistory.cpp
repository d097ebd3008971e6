#include <LibGateway/KnownRunHistory.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

// Guards against a report that is compared with runs that were placed after it.
TEST_CASE("The history of known runs yields the number at a given time")
{
    KnownRunHistory history;
    auto at = [](int ms) { return TimePoint(seconds(60)) + milliseconds(ms); };
    CHECK(history.runsAt(1, at(0)) == 0);
    history.add(1, 3, at(100));
    history.add(1, -1, at(200));
    history.add(1, 2, at(300));
    history.add(2, 7, at(300));
    CHECK(history.runsAt(1, at(50)) == 0);
    CHECK(history.runsAt(1, at(100)) == 3);
    CHECK(history.runsAt(1, at(250)) == 2);
    CHECK(history.runsAt(1, at(900)) == 4);
    CHECK(history.runsAt(2, at(900)) == 7);
}

TEST_CASE("The history of known runs is bounded and keeps the present number")
{
    KnownRunHistory history;
    TimePoint now(seconds(60));
    for (int change = 0; change < 10'000; ++change) {
        now += milliseconds(10);
        history.add(1, change % 2 == 0 ? 2 : -1, now);
    }
    CHECK(history.runsAt(1, now) == 5'000);
    history.add(1, -5'000, now);
    now += minutes(1);
    history.add(2, 1, now);
    CHECK(history.runsAt(1, now) == 0);
}
