#include "GatewayFixture.h"

#include <LibForward/GatewayShutdown.h>

#include <Poco/Net/NetException.h>
#include <catch2/catch.hpp>

#include <thread>

using namespace Lovageward;

namespace {

ScriptedUpstream::Script respondWith(const std::string &body)
{
    return [body](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, body); };
}

}

// Guards against a request that is accepted and sent to an upstream in the last moment, and lost when the process exits.
TEST_CASE("Once a shutdown has ended, no connection is accepted and no request reaches an upstream")
{
    ScriptedUpstream upstream(respondWith("done"));
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    caller.readUntil("done");
    Poco::Net::SocketAddress address("127.0.0.1", fixture.server->port());
    GatewayShutdown shutdown(fixture.clock, fixture.events, fixture.drain, *fixture.server);
    auto now = fixture.clock.now();
    CHECK(shutdown.run(now, now + seconds(10)));
    Poco::Net::StreamSocket late;
    CHECK_THROWS_AS(late.connect(address), Poco::Net::ConnectionRefusedException);
}

TEST_CASE("A request that is active when a shutdown begins is answered before it ends")
{
    Gate gate;
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string &request) {
        gate.await();
        connection.respond(200, request, "done");
    });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    upstream.awaitRequests(1);
    GatewayShutdown shutdown(fixture.clock, fixture.events, fixture.drain, *fixture.server);
    bool isComplete = false;
    std::thread stopping([&] {
        auto now = fixture.clock.now();
        isComplete = shutdown.run(now, now + seconds(10));
    });
    gate.open();
    CHECK(caller.readAll().find("done") != std::string::npos);
    stopping.join();
    CHECK(isComplete);
}

// Guards against requests that are lost without a response because their upstream is slower than usual when the process exits.
TEST_CASE("A request whose upstream hasn't responded when the process is about to exit gets a response with unknown run state")
{
    const auto *path = GENERATE("/plain/look", "/once/book", "/long/plan");
    CAPTURE(path);
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string & /*request*/) { connection.awaitClose(); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    fixture.add("e1", upstream);
    RawCaller caller(fixture);
    caller.request(path, "r1");
    upstream.awaitRequests(1);
    GatewayShutdown shutdown(fixture.clock, fixture.events, fixture.drain, *fixture.server);
    auto now = fixture.clock.now();
    CHECK(shutdown.run(now, now + seconds(1)));
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 504"));
    CHECK(response.find("\"unknown\"") != std::string::npos);
    // It isn't sent to another upstream, which couldn't respond in time either.
    CHECK(upstream.requests().size() == 1);
}

// Guards against bookings that were accepted late in a shutdown and cut at its end, because their upstream took longer than expected.
TEST_CASE("After idle connections are closed, an at-most-once request is accepted only if its deadline is before the shutdown")
{
    ScriptedUpstream upstream(respondWith("done"));
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    fixture.drain.begin(fixture.clock.now() + seconds(10));
    fixture.drain.closeIdleConnections();
    RawCaller patient(fixture);
    patient.request("/once/book", "r1", "Wait-Ms: 12000\r\n");
    auto response = patient.readAll();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("\"not_run\"") != std::string::npos);
    CHECK(upstream.requests().empty());
    RawCaller hurried(fixture);
    hurried.request("/once/book", "r2", "Wait-Ms: 4000\r\n");
    CHECK(hurried.readAll().starts_with("HTTP/1.1 200"));
    // The caller of an idempotent request can repeat it.
    RawCaller idempotent(fixture);
    idempotent.request("/plain/look", "r3", "Wait-Ms: 12000\r\n");
    CHECK(idempotent.readAll().starts_with("HTTP/1.1 200"));
}
