#include <LibCore/ManualClock.h>
#include <LibHttp/ConnectionWatch.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

using Ids = std::vector<ConnectionWatch::Id>;

TEST_CASE("A request is overdue at its own deadline, however often its sender sends a byte", "[http]")
{
    ManualClock clock;
    ConnectionWatch watch;
    auto slow = watch.open();
    auto idle = watch.open();
    CHECK(watch.beginRequest(slow, clock.now() + seconds(10)));
    CHECK(watch.nextDeadline() == clock.now() + seconds(10));
    clock.advance(seconds(10) - microseconds(1));
    CHECK(watch.takeOverdue(clock.now()).empty());
    clock.advance(microseconds(1));
    CHECK(watch.takeOverdue(clock.now()) == Ids { slow });
    CHECK(watch.takeOverdue(clock.now()).empty());
    CHECK_FALSE(watch.nextDeadline());
    CHECK_FALSE(watch.endArrival(slow, clock.now()));
    CHECK_FALSE(watch.endArrival(slow, clock.now()));
    clock.advance(minutes(10));
    CHECK(watch.takeOverdue(clock.now()).empty());
    watch.close(slow);
    watch.close(idle);
}

TEST_CASE("A request that arrived is never overdue, and one that arrives after its deadline is so before the watch looks", "[http]")
{
    ManualClock clock;
    ConnectionWatch watch;
    auto id = watch.open();
    for (auto [arrival, isInTime] : std::vector<std::pair<Duration, bool>> { { seconds(0), true }, { seconds(9), true }, { seconds(10), false } }) {
        INFO("arrival after " << arrival.count() << " us");
        CHECK(watch.beginRequest(id, clock.now() + seconds(10)));
        clock.advance(arrival);
        CHECK(watch.endArrival(id, clock.now()) == isInTime);
        clock.advance(minutes(1));
        CHECK(watch.takeOverdue(clock.now()).empty());
        CHECK(watch.endArrival(id, clock.now()) == isInTime);
        watch.endRequest(id);
    }
}

TEST_CASE("Closing ends idle connections only, and a closed connection is forgotten", "[http]")
{
    ManualClock clock;
    ConnectionWatch watch;
    auto arriving = watch.open();
    auto answering = watch.open();
    auto idle = watch.open();
    auto gone = watch.open();
    CHECK(watch.beginRequest(arriving, clock.now() + seconds(10)));
    CHECK(watch.beginRequest(answering, clock.now() + seconds(10)));
    CHECK(watch.endArrival(answering, clock.now()));
    CHECK(watch.beginRequest(gone, clock.now() + seconds(1)));
    watch.close(gone);
    CHECK(watch.beginClosing() == Ids { idle });
    CHECK_FALSE(watch.acceptsRequests());
    CHECK_FALSE(watch.beginRequest(idle, clock.now() + seconds(10)));
    clock.advance(seconds(10));
    CHECK(watch.takeOverdue(clock.now()) == Ids { arriving });
}
