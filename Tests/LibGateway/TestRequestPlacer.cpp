#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Lovageward;

TEST_CASE("A placement reserves its load immediately, so that the next placement accounts for it")
{
    PlacementFixture fixture;
    fixture.registry.put(upstreamRecord("e1"));
    fixture.registry.put(upstreamRecord("e2"));
    std::vector<PlacementResult> placed;
    std::map<std::string, int> runs;
    for (int run = 0; run < 14; ++run) {
        placed.push_back(fixture.placer.place(fixture.makeConstraints()));
        REQUIRE(placed.back().outcome == PickOutcome::Picked);
        ++runs[placed.back().run.upstream.id.value()];
    }
    CHECK(runs["e1"] == 7);
    CHECK(runs["e2"] == 7);
    // 7 runs of 3,900 tokens fill an engine of 30,000.
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::NoRoom);
    placed.pop_back();
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
}

TEST_CASE("Excluded upstreams and upstreams in other than the allowed regions are not chosen")
{
    PlacementFixture fixture;
    fixture.registry.put(upstreamRecord("near", "a1"));
    fixture.registry.put(upstreamRecord("abroad", "b1"));
    auto constraints = fixture.makeConstraints();
    constraints.excluded = { UpstreamId("near") };
    CHECK(fixture.placer.place(constraints).run.upstream.id == UpstreamId("abroad"));
    constraints.allowedRegions = { RegionId("a") };
    CHECK(fixture.placer.place(constraints).outcome == PickOutcome::NoUpstream);
    constraints.excluded.clear();
    CHECK(fixture.placer.place(constraints).run.upstream.id == UpstreamId("near"));
}

TEST_CASE("Capacity that comes back cold: all nodes together stay within the request rate of a cold upstream")
{
    constexpr double bound = 30;
    auto nodes = GENERATE(std::size_t(8), std::size_t(100), std::size_t(340));
    std::size_t sent = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        PlacementFixture fixture;
        fixture.fleet.count = nodes;
        SeededRandom random(node + 1);
        UpstreamRateLimiter limiter(fixture.clock, random);
        RequestPlacer placer(fixture.clock,
                             fixture.registry,
                             fixture.loadTracker,
                             fixture.tokenTimes,
                             fixture.health,
                             fixture.refusals,
                             fixture.rateLimits,
                             limiter,
                             fixture.speeds,
                             fixture.picker,
                             random,
                             fixture.fleet);
        fixture.pool.coldRequestsPerSecond = bound;
        auto cold = upstreamRecord("cold");
        cold.coldUntil = fixture.clock.now() + seconds(10);
        fixture.registry.put(cold);
        for (int tick = 0; tick < 1000; ++tick) {
            sent += placer.place(fixture.makeConstraints(10, 1)).outcome == PickOutcome::Picked ? 1 : 0;
            fixture.clock.advance(milliseconds(1));
        }
    }
    CHECK(sent > 0);
    CHECK(static_cast<double>(sent) <= bound);
}

TEST_CASE("The outcome is RateLimited, with the time of the next request, if the only upstream is cold and its request rate is used up")
{
    PlacementFixture fixture;
    fixture.pool.coldRequestsPerSecond = 1;
    auto cold = upstreamRecord("cold");
    cold.coldUntil = fixture.clock.now() + seconds(10);
    fixture.registry.put(cold);
    fixture.fleet.count = 1;
    auto first = fixture.placer.place(fixture.makeConstraints());
    for (int tick = 0; first.outcome != PickOutcome::Picked && tick < 2000; ++tick) {
        CHECK(first.outcome == PickOutcome::RateLimited);
        CHECK(first.availableAt > fixture.clock.now());
        fixture.clock.advance(milliseconds(1));
        first = fixture.placer.place(fixture.makeConstraints());
    }
    CHECK(first.outcome == PickOutcome::Picked);
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::RateLimited);
    fixture.clock.advance(seconds(10));
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
}

TEST_CASE("A request goes to another upstream while the request rate of a limited one is used up")
{
    PlacementFixture fixture;
    fixture.fleet.count = 1;
    auto limited = upstreamRecord("limited");
    fixture.registry.put(limited);
    fixture.rateLimits.recordLimit(limited, 0.5);
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::RateLimited);
    fixture.clock.advance(seconds(10));
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::RateLimited);
    fixture.registry.put(upstreamRecord("unlimited", "b1"));
    CHECK(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("unlimited"));
    fixture.rateLimits.recordUnlimited(limited, fixture.clock.now());
    CHECK(fixture.placer.place(fixture.makeConstraints()).run.upstream.id == UpstreamId("limited"));
}

TEST_CASE("Runs are moved to an engine within its rate limit, and standby copies aren't kept at an engine with one")
{
    PlacementFixture fixture;
    fixture.fleet.count = 1;
    auto runner = upstreamRecord("runner");
    auto target = upstreamRecord("target");
    fixture.rateLimits.recordLimit(target, 1);
    fixture.registry.put(target);
    std::size_t moved = 0;
    for (int tick = 0; tick < 100; ++tick) {
        moved += fixture.placer.placeCopy(fixture.makeConstraints(10, 1), runner, CopyPurpose::Migration).outcome == PickOutcome::Picked ? 1 : 0;
        fixture.clock.advance(milliseconds(100));
    }
    CHECK(moved >= 4);
    CHECK(moved <= 10);
    CHECK(fixture.placer.placeCopy(fixture.makeConstraints(10, 1), runner, CopyPurpose::Standby).outcome != PickOutcome::Picked);
}

TEST_CASE("A request whose upstreams are all cold becomes available at the end of the cold start, and in a hierarchical fleet waits for other candidates")
{
    PlacementFixture fixture;
    fixture.pool.coldRequestsPerSecond = 0.001;
    auto cold = upstreamRecord("cold");
    cold.coldUntil = fixture.clock.now() + milliseconds(500);
    fixture.registry.put(cold);
    auto result = fixture.placer.place(fixture.makeConstraints());
    CHECK(result.outcome == PickOutcome::RateLimited);
    CHECK(result.availableAt == cold.coldUntil);
    fixture.fleet.isHierarchicalFleet = true;
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::NoRoom);
}

TEST_CASE("An upstream that accepts no requests at all still gets a few, which show when its limit ends")
{
    PlacementFixture fixture;
    fixture.fleet.count = 1;
    auto limited = upstreamRecord("limited");
    fixture.registry.put(limited);
    fixture.rateLimits.recordLimit(limited, 0);
    std::size_t sent = 0;
    for (int tick = 0; tick < 600; ++tick) {
        sent += fixture.placer.place(fixture.makeConstraints(10, 1)).outcome == PickOutcome::Picked ? 1 : 0;
        fixture.clock.advance(milliseconds(100));
    }
    CHECK(sent >= 1);
    // At most one in ten seconds.
    CHECK(sent <= 6);
}

TEST_CASE("An engine joins empty while the others are busy: only some nodes of a hierarchical fleet choose it")
{
    constexpr int nodes = 60;
    int toEmpty = 0;
    for (int node = 0; node < nodes; ++node) {
        PlacementFixture fixture;
        fixture.random.next();
        SeededRandom random(static_cast<std::uint64_t>(node) + 100);
        RequestPlacer placer(fixture.clock,
                             fixture.registry,
                             fixture.loadTracker,
                             fixture.tokenTimes,
                             fixture.health,
                             fixture.refusals,
                             fixture.rateLimits,
                             fixture.rateLimiter,
                             fixture.speeds,
                             fixture.picker,
                             random,
                             fixture.fleet);
        fixture.fleet.count = nodes;
        fixture.fleet.isHierarchicalFleet = true;
        std::vector<UpstreamLoadReport> busy;
        for (int engine = 0; engine < 40; ++engine) {
            auto id = fmt::format("busy-{}", engine);
            fixture.registry.put(upstreamRecord(id, engine < 8 ? "a1" : "b1"));
            busy.push_back(UpstreamLoadReport { LoadTracker::hashUpstreamId(UpstreamId(id)), UpstreamLoad { 5, 20'000, 0 } });
        }
        fixture.registry.put(upstreamRecord("empty", "b1"));
        fixture.loadTracker.replacePeerReports(HostId("peer-0"), busy, fixture.clock.now() + seconds(100));
        auto placed = placer.place(fixture.makeConstraints());
        REQUIRE(placed.outcome == PickOutcome::Picked);
        toEmpty += placed.run.upstream.id == UpstreamId("empty") ? 1 : 0;
    }
    // Each node considers two of the 33 far engines.
    CHECK(toEmpty < nodes / 4);
}

TEST_CASE("A hierarchical fleet: summed loads are divided equally among the upstreams of the pool and domain")
{
    PlacementFixture fixture;
    fixture.fleet.isHierarchicalFleet = true;
    fixture.registry.put(upstreamRecord("a", "a1"));
    fixture.registry.put(upstreamRecord("b", "a1"));
    fixture.loadTracker.replaceAggregateLoads(
        { DomainPoolLoad { FailureDomainId("a1"), PoolId("engines"), UpstreamLoad { 10, 50'000, 0 } } }, {}, fixture.clock.now() + seconds(3));
    auto placed = fixture.placer.place(fixture.makeConstraints());
    REQUIRE(placed.outcome == PickOutcome::Picked);
    CHECK(placed.run.load.peakTokens == Approx(25'000));
    CHECK(placed.run.load.runs == 5);
    // Other nodes use 25,000 of 30,000 tokens and the run 3,900, so each of the two engines has room for one run.
    auto second = fixture.placer.place(fixture.makeConstraints());
    REQUIRE(second.outcome == PickOutcome::Picked);
    CHECK(second.run.upstream.id != placed.run.upstream.id);
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::NoRoom);
    fixture.clock.advance(seconds(3));
    CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
}

TEST_CASE("A hierarchical fleet without near engines: far engines are sampled from the allowed regions only")
{
    PlacementFixture fixture;
    fixture.fleet.isHierarchicalFleet = true;
    for (int engine = 0; engine < 30; ++engine) {
        fixture.registry.put(upstreamRecord(fmt::format("abroad-{}", engine), "b1"));
    }
    fixture.registry.put(upstreamRecord("home", "a2"));
    auto constraints = fixture.makeConstraints(10, 10);
    constraints.allowedRegions = { RegionId("a") };
    for (int request = 0; request < 20; ++request) {
        auto placed = fixture.placer.place(constraints);
        REQUIRE(placed.outcome == PickOutcome::Picked);
        CHECK(placed.run.upstream.id == UpstreamId("home"));
    }
}

TEST_CASE("Hundreds of near engines: a sample contains one with a low load")
{
    PlacementFixture fixture;
    fixture.fleet.isHierarchicalFleet = true;
    std::vector<UpstreamLoadReport> busy;
    for (int engine = 0; engine < 500; ++engine) {
        auto id = fmt::format("engine-{}", engine);
        fixture.registry.put(upstreamRecord(id, "a1"));
        busy.push_back(UpstreamLoadReport { LoadTracker::hashUpstreamId(UpstreamId(id)), UpstreamLoad { 1, engine % 2 == 0 ? 25'000.0 : 5'000.0, 0 } });
    }
    fixture.loadTracker.replacePeerReports(HostId("peer"), busy, fixture.clock.now() + seconds(3));
    for (int request = 0; request < 200; ++request) {
        auto placed = fixture.placer.place(fixture.makeConstraints());
        REQUIRE(placed.outcome == PickOutcome::Picked);
        CHECK(placed.run.load.peakTokens < 15'000);
    }
}

TEST_CASE("Pools are chosen in proportion to their weights in the route")
{
    Route route = streamRoute();
    route.pools = { WeightedPool { PoolId("old"), 90 }, WeightedPool { PoolId("new"), 10 } };
    CHECK(RequestPlacer::choosePool(route, 0) == PoolId("old"));
    CHECK(RequestPlacer::choosePool(route, 0.89) == PoolId("old"));
    CHECK(RequestPlacer::choosePool(route, 0.91) == PoolId("new"));
    CHECK(RequestPlacer::choosePool(route, 0.9999) == PoolId("new"));
}

TEST_CASE("An upstream that sheds load while its callers retry immediately: no request is placed there until the refusal ends")
{
    PlacementFixture fixture;
    auto shedding = upstreamRecord("shedding");
    fixture.registry.put(shedding);
    fixture.refusals.recordRefusal(shedding, seconds(2));
    auto result = fixture.placer.place(fixture.makeConstraints());
    CHECK(result.outcome == PickOutcome::Refused);
    CHECK(result.availableAt == fixture.clock.now() + seconds(2));
    CHECK_FALSE(fixture.placer.acceptsRequests(shedding));
    CHECK(fixture.placer.placeCopy(fixture.makeConstraints(), upstreamRecord("runner"), CopyPurpose::Migration).outcome != PickOutcome::Picked);

    SECTION("other upstreams are chosen instead")
    {
        fixture.registry.put(upstreamRecord("other", "b1"));
        for (int request = 0; request < 5; ++request) {
            auto placed = fixture.placer.place(fixture.makeConstraints());
            REQUIRE(placed.outcome == PickOutcome::Picked);
            CHECK(placed.run.upstream.id == UpstreamId("other"));
        }
    }
    SECTION("the earliest end of a refusal is reported if all upstreams refuse")
    {
        auto other = upstreamRecord("other");
        fixture.registry.put(other);
        fixture.refusals.recordRefusal(other, seconds(5));
        fixture.clock.advance(seconds(1));
        CHECK(fixture.placer.place(fixture.makeConstraints()).availableAt == fixture.clock.now() + seconds(1));
    }
    SECTION("a later refusal with a shorter wait doesn't end the first")
    {
        fixture.refusals.recordRefusal(shedding, milliseconds(100));
        fixture.clock.advance(milliseconds(1999));
        CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Refused);
        fixture.clock.advance(milliseconds(1));
        CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
    }
    SECTION("a refusal doesn't apply to a new process with the same id")
    {
        shedding.boot = BootId("2");
        fixture.registry.put(shedding);
        CHECK(fixture.placer.place(fixture.makeConstraints()).outcome == PickOutcome::Picked);
    }
}

TEST_CASE("Refusals last at most ten minutes, and negative times are ignored")
{
    ManualClock clock;
    UpstreamRefusals refusals(clock);
    auto record = upstreamRecord("e1");
    refusals.recordRefusal(record, -seconds(5));
    CHECK_FALSE(refusals.refusedUntil(record));
    refusals.recordRefusal(record, Duration::max());
    REQUIRE(refusals.refusedUntil(record));
    CHECK(*refusals.refusedUntil(record) == clock.now() + minutes(10));
    clock.advance(minutes(10));
    CHECK_FALSE(refusals.refusedUntil(record));
}
