#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** A gateway with wait-order = deadline whose only engine is full until release(). */
struct WaitFixture
{
    WaitFixture()
    {
        this->gateway.dependencies.waitOrder = WaitOrder::Deadline;
        this->gateway.add("e1", this->engine);
        this->occupation = std::make_unique<LoadReservation>(this->gateway.loadTracker, UpstreamId("e1"), Footprint { 29'500, 0, 0 }, RunKind::Resumed);
    }

    ScriptedUpstream engine { [](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 3); } };
    GatewayFixture gateway;
    std::unique_ptr<LoadReservation> occupation;
};

}

// Guards against the rejection of requests that would have been served: without the list they give up after an eighth of their target.
TEST_CASE("Requests wait for an engine beyond their target and are placed when it has room")
{
    WaitFixture fixture;
    RawCaller first(fixture.gateway);
    RawCaller second(fixture.gateway);
    first.request("/long/plan", "r1");
    second.request("/long/plan", "r2");
    fixture.gateway.events.await("wait_begin", 2);
    CHECK_FALSE(first.isReadableWithin(Poco::Timespan(1, 0)));
    fixture.occupation.reset();
    CHECK(isCompleteStream(first.readUntil("0\r\n\r\n"), 3));
    CHECK(isCompleteStream(second.readUntil("0\r\n\r\n"), 3));
    CHECK(fixture.gateway.waitingRequests.count() == 0);
}

TEST_CASE("A waiting request leaves the list when its caller disconnects, and is never sent")
{
    WaitFixture fixture;
    RawCaller caller(fixture.gateway);
    caller.request("/patient-long/plan", "r1");
    fixture.gateway.events.await("wait_begin", 1);
    caller.close();
    fixture.gateway.events.await("caller_gone", 1);
    CHECK(fixture.gateway.waitingRequests.count() == 0);
    fixture.occupation.reset();
    CHECK(fixture.engine.requests().empty());
}

TEST_CASE("Waiting requests are rejected as not run when the node begins to shut down")
{
    WaitFixture fixture;
    RawCaller first(fixture.gateway);
    RawCaller second(fixture.gateway);
    first.request("/patient-long/plan", "r1");
    second.request("/patient-long/plan", "r2");
    fixture.gateway.events.await("wait_begin", 2);
    fixture.gateway.drain.begin(fixture.gateway.clock.now() + seconds(30));
    for (auto *caller : { &first, &second }) {
        CHECK(caller->readUntil("}").starts_with("HTTP/1.1 503"));
        CHECK(caller->text().find("Retry-After") != std::string::npos);
    }
    CHECK(fixture.engine.requests().empty());
}

TEST_CASE("A request that can't finish before its deadline is rejected at once with a retry time")
{
    WaitFixture fixture;
    RawCaller caller(fixture.gateway);
    // 1,000 output tokens take more than a second.
    caller.request("/long/plan", "r1", "Wait-Ms: 900\r\n");
    CHECK(caller.readUntil("}").starts_with("HTTP/1.1 503"));
    CHECK(caller.text().find("Retry-After: 0.") != std::string::npos);
    CHECK(fixture.engine.requests().empty());
}
