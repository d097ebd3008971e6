#include <LibCore/ManualClock.h>
#include <LibLog/InMemoryLogService.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("Expired records leave a visible gap instead of silently shifting offsets", "[log]")
{
    ManualClock clock;
    InMemoryLogService log(clock, minutes(30));
    StreamName stream("config");
    log.append(stream, "a", clock.now());
    clock.advance(minutes(31));
    log.append(stream, "b", clock.now());
    auto result = log.read(stream, Offset(1), 10, clock.now());
    REQUIRE(result.records.size() == 1);
    CHECK(result.firstRetained == Offset(2));
    CHECK(result.records.front().offset == Offset(2));
    CHECK(result.end == Offset(2));
}
