#include "GatewayFixture.h"

#include <LibGateway/WaitingRequests.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace Lovageward;

namespace {

struct CountingSignal final : WaitSignal
{
    void notify() override
    {
        ++this->count;
    }

    int count = 0;
};

struct Waiter
{
    WaitId id;
    WaitingRequest request;
    std::unique_ptr<CountingSignal> signal = std::make_unique<CountingSignal>();
};

/** A list without engines: the test decides which placements succeed. */
struct ListFixture
{
    static WaitingRequest longRequest(const std::string &team = "small", TimePoint arrivedAt = TimePoint())
    {
        return { PoolId("engines"),
                 RouteId("long"),
                 TeamId(team),
                 RequestTiming { arrivedAt, milliseconds(4000), arrivedAt + seconds(39), 1, Footprint { 3079, 744, 744 } },
                 {},
                 12'000 };
    }

    static WaitingRequest shortRequest(const std::string &team = "small", TimePoint arrivedAt = TimePoint())
    {
        return { PoolId("engines"),
                 RouteId("short"),
                 TeamId(team),
                 RequestTiming { arrivedAt, milliseconds(1500), arrivedAt + seconds(6), 0, Footprint { 2550, 8, 8 } },
                 {},
                 10'000 };
    }

    std::size_t add(const WaitingRequest &request)
    {
        Waiter waiter;
        waiter.request = request;
        waiter.id = this->list.add(request, *waiter.signal);
        this->waiters.push_back(std::move(waiter));
        return this->waiters.size() - 1;
    }

    WaitStep::Action actionOf(std::size_t waiter)
    {
        return this->list.next(this->waiters[waiter].id).action;
    }

    void remove(std::size_t waiter, bool isPlaced = true)
    {
        this->list.remove(this->waiters[waiter].id, isPlaced);
        this->waiters[waiter].id = WaitId();
    }

    /**
     * Gives one free place to the requests that try to be placed. A held one gets it only if no other tries, because its condition leaves room for the
     * other. Returns the one that is placed, if any.
     */
    std::optional<std::size_t> placeFirst()
    {
        std::optional<std::size_t> first;
        std::optional<std::size_t> firstHeld;
        for (std::size_t waiter = 0; waiter < this->waiters.size(); ++waiter) {
            if (this->waiters[waiter].id == WaitId()) {
                continue;
            }
            auto step = this->list.next(this->waiters[waiter].id);
            PlacementResult failed;
            failed.outcome = PickOutcome::NoRoom;
            this->list.recordAttempt(this->waiters[waiter].id, failed);
            auto &candidate = step.following ? firstHeld : first;
            if (step.action == WaitStep::Action::Attempt && !candidate) {
                candidate = waiter;
            }
        }
        first = first ? first : firstHeld;
        if (first) {
            this->remove(*first);
        }
        return first;
    }

    ManualClock clock;
    Counters counters;
    SeededRandom random { 1 };
    WaitingRequests list { clock, random, counters };
    std::vector<Waiter> waiters;
};

}

TEST_CASE("A short urgent request goes before long ones that arrived earlier, and the others are woken in order")
{
    ListFixture fixture;
    auto first = fixture.add(fixture.longRequest());
    fixture.clock.advance(milliseconds(5));
    auto second = fixture.add(fixture.longRequest("small", fixture.clock.now()));
    auto urgent = fixture.add(fixture.shortRequest("small", fixture.clock.now()));
    CHECK(fixture.actionOf(urgent) == WaitStep::Action::Attempt);
    CHECK(fixture.actionOf(first) == WaitStep::Action::Wait);
    fixture.remove(urgent);
    CHECK(fixture.waiters[first].signal->count > 0);
    CHECK(fixture.waiters[second].signal->count == 0);
    CHECK(fixture.actionOf(first) == WaitStep::Action::Attempt);
    CHECK(fixture.actionOf(second) == WaitStep::Action::Wait);
    // A caller that disconnects leaves the list without being counted as placed.
    fixture.remove(first, false);
    CHECK(fixture.waiters[second].signal->count > 0);
    CHECK(fixture.list.count() == 1);
}

TEST_CASE("A long request with slack is placed under the condition that urgent ones stay in time, and doesn't block them while it is held")
{
    ListFixture fixture;
    auto urgent = fixture.add(fixture.shortRequest());
    fixture.remove(urgent);
    auto held = fixture.add(fixture.longRequest());
    CHECK(fixture.list.next(fixture.waiters[held].id).following.has_value());
    fixture.clock.advance(milliseconds(2500));
    auto later = fixture.add(fixture.shortRequest("small", fixture.clock.now()));
    CHECK(fixture.actionOf(later) == WaitStep::Action::Attempt);
    fixture.remove(later);
    fixture.clock.advance(milliseconds(1400));
    auto step = fixture.list.next(fixture.waiters[held].id);
    CHECK(step.action == WaitStep::Action::Attempt);
    CHECK_FALSE(step.following.has_value());
}

TEST_CASE("Without more urgent traffic, long requests aren't held")
{
    ListFixture fixture;
    auto request = fixture.add(fixture.longRequest());
    auto step = fixture.list.next(fixture.waiters[request].id);
    CHECK(step.action == WaitStep::Action::Attempt);
    CHECK_FALSE(step.following.has_value());
}

TEST_CASE("Requests for different regions don't block each other, because they may use different engines")
{
    ListFixture fixture;
    auto request = fixture.longRequest();
    request.allowedRegions = { RegionId("a") };
    auto first = fixture.add(request);
    request.allowedRegions = { RegionId("b") };
    auto second = fixture.add(request);
    CHECK(fixture.actionOf(first) == WaitStep::Action::Attempt);
    CHECK(fixture.actionOf(second) == WaitStep::Action::Attempt);
}

TEST_CASE("A node that was paused rejects all requests that can't finish any more when it resumes")
{
    ListFixture fixture;
    for (int count = 0; count < 5; ++count) {
        fixture.add(fixture.longRequest());
        fixture.add(fixture.shortRequest());
    }
    fixture.clock.advance(seconds(10));
    for (std::size_t waiter = 0; waiter < fixture.waiters.size(); ++waiter) {
        auto isLong = fixture.waiters[waiter].request.route == RouteId("long");
        CHECK((fixture.actionOf(waiter) == WaitStep::Action::Reject) == !isLong);
    }
    fixture.clock.advance(seconds(30));
    for (std::size_t waiter = 0; waiter < fixture.waiters.size(); ++waiter) {
        CHECK(fixture.actionOf(waiter) == WaitStep::Action::Reject);
    }
}

TEST_CASE("Burst 2.3 times of long prompts for 7 s beside steady short ones: short ones start in time, no long one starves")
{
    // Capacity for one placement each 100 ms; 2 short and 18 long requests per second arrive in the burst, 6 long ones afterwards.
    ListFixture fixture;
    constexpr Duration step = milliseconds(100);
    std::map<std::size_t, Duration> delays;
    std::size_t inTimeLong = 0;
    for (int tick = 0; tick < 250; ++tick) {
        auto now = fixture.clock.now();
        auto isBurst = now < TimePoint(seconds(7));
        if (tick % 5 == 0) {
            fixture.add(fixture.shortRequest("small", now));
        }
        auto longCount = isBurst ? 2 - (tick % 10 == 0) : tick % 5 < 3;
        for (int count = 0; count < longCount; ++count) {
            fixture.add(fixture.longRequest("small", now));
        }
        if (auto placed = fixture.placeFirst()) {
            const auto &request = fixture.waiters[*placed].request;
            delays[*placed] = now - request.timing.arrivedAt;
            inTimeLong += request.route == RouteId("long") && delays[*placed] < milliseconds(3400);
            if (request.route == RouteId("short")) {
                CHECK(delays[*placed] <= milliseconds(1000));
            }
        }
        fixture.clock.advance(step);
    }
    // The excess of the burst is 70 placements. Without an order by time left, all long requests after the fourth second would be late.
    CHECK(inTimeLong > 100);
    for (std::size_t waiter = 0; waiter < fixture.waiters.size(); ++waiter) {
        auto isOld = fixture.waiters[waiter].request.timing.arrivedAt < TimePoint(seconds(4));
        CHECK((!isOld || delays.contains(waiter)));
    }
}

TEST_CASE("Burst 1.8 times of short requests: long ones still get capacity while the burst lasts")
{
    // Capacity for 10 placements per second; 16 short and 2 long requests per second arrive for 10 s, and long ones become late after 3 s.
    ListFixture fixture;
    std::size_t placedLong = 0;
    std::size_t rejectedLong = 0;
    for (int tick = 0; tick < 200; ++tick) {
        auto now = fixture.clock.now();
        auto isBurst = tick < 100;
        for (int count = 0; isBurst && count < 1 + (tick % 5 < 3); ++count) {
            fixture.add(fixture.shortRequest("small", now));
        }
        if (isBurst && tick % 5 == 0) {
            fixture.add(fixture.longRequest("small", now));
        }
        auto placed = fixture.placeFirst();
        placedLong += isBurst && placed && fixture.waiters[*placed].request.route == RouteId("long");
        // Requests that have to be rejected leave.
        for (std::size_t waiter = 0; waiter < fixture.waiters.size(); ++waiter) {
            if (fixture.waiters[waiter].id != WaitId() && fixture.actionOf(waiter) == WaitStep::Action::Reject) {
                rejectedLong += fixture.waiters[waiter].request.route == RouteId("long");
                fixture.remove(waiter, false);
            }
        }
        fixture.clock.advance(milliseconds(100));
    }
    CHECK(placedLong > 0);
    CHECK(rejectedLong == 0);
    CHECK(fixture.list.count() == 0);
}

TEST_CASE("One team with half of the traffic: the other teams wait less, and the large team gets all that they leave")
{
    ListFixture fixture;
    std::map<TeamId, std::size_t> arrived;
    std::map<TeamId, std::size_t> placedCount;
    std::size_t placements = 0;
    for (int tick = 0; tick < 400; ++tick) {
        auto now = fixture.clock.now();
        // 20 requests per second for 10 placements per second, half of them of the large team, the others of 8 teams.
        for (const auto &team : { std::string("large"), fmt::format("team-{}", tick % 8) }) {
            ++arrived[TeamId(team)];
            fixture.add(fixture.longRequest(team, now));
        }
        if (auto placed = fixture.placeFirst()) {
            ++placements;
            ++placedCount[fixture.waiters[*placed].request.team];
        }
        for (std::size_t waiter = 0; waiter < fixture.waiters.size(); ++waiter) {
            if (fixture.waiters[waiter].id != WaitId() && now - fixture.waiters[waiter].request.timing.arrivedAt > seconds(6)) {
                fixture.remove(waiter, false);
            }
        }
        fixture.clock.advance(milliseconds(100));
    }
    auto share = [&](const std::string &team) { return static_cast<double>(placedCount[TeamId(team)]) / static_cast<double>(arrived[TeamId(team)]); };
    CHECK(placements == 400);
    CHECK(share("large") > 0.2);
    for (int team = 0; team < 8; ++team) {
        CAPTURE(team);
        CHECK(share(fmt::format("team-{}", team)) > share("large"));
    }
}

TEST_CASE("The bytes and the number of waiting requests are counted")
{
    ListFixture fixture;
    auto first = fixture.add(fixture.longRequest());
    fixture.add(fixture.shortRequest());
    CHECK(fixture.counters.counter("lovageward_wait_requests").value() == 2);
    CHECK(fixture.counters.counter("lovageward_wait_bytes").value() == 22'000);
    fixture.remove(first);
    CHECK(fixture.counters.counter("lovageward_wait_bytes").value() == 10'000);
}
