#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

UpstreamEstimate estimateOf(GatewayFixture &fixture, const std::string &id)
{
    UpstreamRecord upstream;
    upstream.id = UpstreamId(id);
    upstream.boot = BootId("1");
    upstream.pool = PoolId("services");
    return fixture.speeds.estimate(upstream, IndirectLoad());
}

}

// Guards against reports that are dropped, and against those of another process that took over the address.
TEST_CASE("The load in a response is recorded for the process, unless the response isn't its own")
{
    std::string fields;
    ScriptedUpstream service([&](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done", fields); });
    GatewayFixture fixture;
    fixture.add("s1", service, "services");
    auto request = [&](const std::string &id) {
        RawCaller caller(fixture);
        caller.request("/plain/a", id);
        caller.readUntil("\r\n\r\n");
    };
    fields = "Load: 6,2,6,250\r\n";
    request("r1");
    CHECK_FALSE(estimateOf(fixture, "s1").speed);
    fields = "Mark: m\r\n" + fields;
    request("r2");
    auto estimate = estimateOf(fixture, "s1");
    CHECK(estimate.hasWaitingRequests);
    REQUIRE(estimate.speed);
    CHECK(estimate.speed->current > 1.5);
    // At the time of the report, one of the eight requests was this node's own.
    CHECK(estimate.indirectLoad.runs >= 7);
}
