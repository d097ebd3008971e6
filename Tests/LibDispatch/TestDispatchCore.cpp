#include <catch2/catch.hpp>

#include "DispatchFixture.h"

using namespace Lovageward;

TEST_CASE("A request is placed at once when there is room and waits when there is none", "[dispatch]")
{
    CoreFixture fixture;
    fixture.addUpstream("u1");
    auto first = fixture.admit(fixture.item("red", "plan"));
    auto second = fixture.admit(fixture.item("red", "plan"));
    REQUIRE(fixture.placed.count(first) == 1);
    CHECK(fixture.placed.at(first).address == "u1:80");
    CHECK(fixture.placed.count(second) == 0);
    fixture.release(fixture.placed.at(first).id);
    CHECK(fixture.placed.count(second) == 1);
}

TEST_CASE("A waiting request is refused at its deadline and not later, so no caller is held in vain", "[dispatch]")
{
    CoreFixture fixture;
    fixture.addUpstream("u1");
    fixture.admit(fixture.item("red", "plan"));
    auto waiting = fixture.admit(fixture.item("red", "plan", seconds(5)));
    CHECK(fixture.core.nextDeadline() == fixture.clock.now() + seconds(5));
    fixture.clock.advance(seconds(5) - microseconds(1));
    fixture.step();
    CHECK(fixture.refused.empty());
    fixture.clock.advance(microseconds(1));
    fixture.step();
    CHECK(fixture.refused.at(waiting) == ResultCode::DeadlineExceeded);
}
