#include "GatewayFixture.h"

#include <LibGateway/StartTimePolicy.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Engine times of the load: 0.13 ms per prompt token, 7 ms per output token. */
constexpr Duration tokenTime = milliseconds(7);

RequestTiming longRequest(Duration targetLatency = milliseconds(4000))
{
    return RequestTiming { TimePoint(seconds(1)), targetLatency, TimePoint(seconds(40)), 1, Footprint { 3079, 744, 744 } };
}

RequestTiming shortRequest()
{
    return RequestTiming { TimePoint(seconds(1)), milliseconds(1500), TimePoint(seconds(7)), 0, Footprint { 2550, 8, 8 } };
}

RunForecast forecast(const RequestTiming &request, double pendingTokens)
{
    return forecastRun(EngineState { UpstreamLoad { 3, 9000, pendingTokens, 3 }, tokenTime, 0.4 }, request.footprint);
}

Candidate engine(const std::string &id, double peakTokens, double pendingTokens)
{
    return Candidate { upstreamRecord(id), UpstreamLoad { 3, peakTokens, pendingTokens, 3 }, 0, tokenTime };
}

}

TEST_CASE("Long prompts beside short urgent ones: a long request is held while it has slack, never beyond its latest start")
{
    StartTimePolicy policy;
    auto request = longRequest();
    auto prediction = forecast(request, 6000);
    auto decision = policy.decide(request.arrivedAt, request, prediction, Duration(0), true);
    CHECK(decision.action == StartAction::Hold);
    CHECK(decision.holdUntil + prediction.firstEvent <= request.arrivedAt + request.targetLatency);
    CHECK(decision.holdUntil >= request.arrivedAt + request.targetLatency / 2);
    CHECK(policy.decide(decision.holdUntil + milliseconds(1), request, prediction, Duration(0), true).action == StartAction::Place);
    CHECK(policy.decide(request.arrivedAt, request, prediction, Duration(0), false).action == StartAction::Place);
}

TEST_CASE("A request that can't meet its target any more is placed rather than held or rejected, and is known to be late")
{
    StartTimePolicy policy;
    auto request = longRequest();
    auto decision = policy.decide(request.arrivedAt + seconds(5), request, forecast(request, 6000), Duration(0), true);
    CHECK(decision.action == StartAction::Place);
    CHECK_FALSE(decision.isInTime);
}

TEST_CASE("A request is rejected at once if it can't finish before its deadline, or the wait exceeds its latest useful start")
{
    StartTimePolicy policy;
    auto request = longRequest();
    auto prediction = forecast(request, 0);
    CHECK(policy.decide(request.deadline - prediction.completion / 2, request, prediction, Duration(0), true).action == StartAction::Reject);
    CHECK(policy.decide(request.arrivedAt, request, prediction, seconds(38), true).action == StartAction::Reject);
    CHECK(policy.decide(request.arrivedAt, request, prediction, seconds(10), false).action == StartAction::Place);
    // The same wait of 10 s is more than the short request's caller waits.
    CHECK(policy.decide(request.arrivedAt, shortRequest(), forecast(shortRequest(), 0), seconds(10), false).action == StartAction::Reject);
}

TEST_CASE("Requests yield to more urgent ones of higher or equal priority only, and not to their own kind")
{
    CHECK(StartTimePolicy::yieldsTo(longRequest(), shortRequest()));
    CHECK(StartTimePolicy::yieldsTo(longRequest(), longRequest(milliseconds(1800))));
    CHECK_FALSE(StartTimePolicy::yieldsTo(longRequest(), longRequest()));
    CHECK_FALSE(StartTimePolicy::yieldsTo(shortRequest(), longRequest()));
    auto unimportant = shortRequest();
    unimportant.priority = 2;
    CHECK_FALSE(StartTimePolicy::yieldsTo(longRequest(), unimportant));
}

TEST_CASE("Long prompts beside short urgent ones: engines with more pending prompts than the urgent request tolerates are left out")
{
    auto pool = enginePool();
    std::vector<Candidate> candidates { engine("idle", 0, 0), engine("one-prompt", 4000, 3079), engine("three-prompts", 12'000, 9237) };
    removeEnginesThatDelay(StartTimePolicy::following(shortRequest()), candidates, pool, longRequest().footprint);
    REQUIRE(candidates.size() == 2);
    for (const auto &candidate : candidates) {
        auto state = EngineState { candidate.load, tokenTime, 0 };
        state.load.pendingPrefillTokens += longRequest().footprint.promptTokens;
        CHECK(forecastRun(state, shortRequest().footprint).firstEvent < shortRequest().targetLatency);
    }
    // Room for the long request, but not for an urgent one after it.
    std::vector<Candidate> nearlyFull { engine("nearly-full", engineKvCacheTokens - 4000, 0) };
    removeEnginesThatDelay(StartTimePolicy::following(shortRequest()), nearlyFull, pool, longRequest().footprint);
    CHECK(nearlyFull.empty());
}

TEST_CASE("An idle engine is used even if urgent requests would be late behind the long prompt there, because waiting would not help")
{
    std::vector<Candidate> candidates { engine("idle", 0, 0) };
    auto following = StartTimePolicy::following(shortRequest());
    following.firstEventLimit = milliseconds(10);
    removeEnginesThatDelay(following, candidates, enginePool(), longRequest().footprint);
    CHECK(candidates.size() == 1);
}

TEST_CASE("A placement behind a held condition finds no room rather than no upstream, and tells the forecast")
{
    PlacementFixture fixture;
    fixture.registry.put(upstreamRecord("e1"));
    auto first = fixture.placer.place(fixture.makeConstraints(9000, 744));
    REQUIRE(first.outcome == PickOutcome::Picked);
    auto constraints = fixture.makeConstraints(3079, 744);
    constraints.following = StartTimePolicy::following(shortRequest());
    auto held = fixture.placer.place(constraints);
    CHECK(held.outcome == PickOutcome::NoRoom);
    CHECK(held.forecast.has_value());
    constraints.following.reset();
    CHECK(fixture.placer.place(constraints).outcome == PickOutcome::Picked);
}
