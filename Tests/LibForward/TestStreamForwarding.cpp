#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** An engine that sends some events, then waits until the gateway closes the connection. It accepts migrations. */
ScriptedUpstream::Script runUntilClosed(int events)
{
    return [events](ScriptedConnection &connection, const std::string &request) {
        if (request.starts_with("POST /move")) {
            connection.respond(200, request, "handle-1");
            return;
        }
        connection.beginStream(request);
        sendEvents(connection, 0, events);
        connection.awaitClose();
    };
}

}

TEST_CASE("A stream is forwarded event by event with its head and its end")
{
    Gate proceed;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        proceed.await();
        connection.sendEvent(1);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    CHECK(caller.readUntil("data: e0\n\n").find("Mark: m") != std::string::npos);
    proceed.open();
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 2));
}

TEST_CASE("A stream that is interrupted without a backup is truncated and doesn't look complete")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.send("10\r\nid: 1\nda");
        connection.reset();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    auto text = caller.readAll();
    CHECK(timesReceived(text, 0) == 1);
    CHECK(text.find("id: 1") == std::string::npos);
    CHECK_FALSE(text.ends_with("0\r\n\r\n"));
    CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("A stream that is interrupted before its first event isn't sent to another upstream")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string & /*request*/) { connection.reset(); });
    ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 2); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    engine.awaitRequests(1);
    fixture.add("e2", other);
    CHECK(caller.readUntil("run_state").starts_with("HTTP/1.1 502"));
    CHECK(other.requests().empty());
}

TEST_CASE("After an engine crash the run continues from its backup after the last event sent to the caller")
{
    Gate crash;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 3);
        crash.await();
        connection.reset();
    });
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 6); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e2\n\n");
    crash.open();
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 6));
    CHECK(ScriptedConnection::field(engine.requests().front(), "Backup") == standby.address());
    auto continued = standby.requests().front();
    CHECK(ScriptedConnection::field(continued, "Memory") == standby.address() + "/r1");
    CHECK(ScriptedConnection::field(continued, "Last-Event-Id") == "2");
}

TEST_CASE("A stalled engine that sends single bytes but no events is detected and the run continues from its backup")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 3);
        connection.sendSlowlyUntilClosed();
    });
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 6); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 6));
}

TEST_CASE("A stalled stream without a backup is truncated at its deadline and doesn't look complete")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.sendSlowlyUntilClosed();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1", "Wait-Ms: 2000\r\n");
    auto received = caller.readAll();
    CHECK(timesReceived(received, 1) == 1);
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    CHECK(received.find("data: e2") == std::string::npos);
}

TEST_CASE("A slow stream with pauses below the stall timeout isn't interrupted")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        for (int id = 0; id < 3; ++id) {
            connection.sendEvent(id);
            connection.pause(milliseconds(1300));
        }
        connection.endStream();
    });
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 6); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 3));
}

TEST_CASE("The backup takes over the run of a leaving engine without losing or duplicating an event")
{
    ScriptedUpstream engine(runUntilClosed(4));
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 8); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e3\n\n");
    fixture.add("e1", engine, "engines", true);
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 8));
}

// Guards against losing the run of a leaving engine when its backup refuses to continue it.
TEST_CASE("A run stays at its leaving engine if the backup refuses the takeover")
{
    Gate finish;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        if (request.starts_with("POST /move")) {
            connection.respond(503, request, "");
            return;
        }
        connection.beginStream(request);
        sendEvents(connection, 0, 3);
        finish.await();
        sendEvents(connection, 3, 5);
        connection.endStream();
    });
    ScriptedUpstream refusing([](ScriptedConnection &connection, const std::string &request) { connection.respond(503, request, "", "Not-Run: 1\r\n"); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", refusing);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e2\n\n");
    fixture.add("e1", engine, "engines", true);
    refusing.awaitRequests(2);
    finish.open();
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 5));
}

TEST_CASE("The run of a leaving engine without a backup is migrated with its memory")
{
    ScriptedUpstream engine(runUntilClosed(3));
    ScriptedUpstream target([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 7); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e2\n\n");
    fixture.add("e2", target);
    fixture.add("e1", engine, "engines", true);
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 7));
    auto continued = target.requests().front();
    CHECK(ScriptedConnection::field(continued, "Memory") == engine.address() + "/handle-1");
}

// Guards against an error response inside a stream: closing the connection a second time failed, and the failure was reported to the caller.
TEST_CASE("A stream whose backup refuses after a crash is truncated without an error response in it")
{
    Gate crash;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        crash.await();
        connection.reset();
    });
    ScriptedUpstream refusing([](ScriptedConnection &connection, const std::string &request) { connection.respond(503, request, "", "Not-Run: 1\r\n"); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", refusing);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e1\n\n");
    crash.open();
    auto text = caller.readAll();
    CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(text.find("run_state") == std::string::npos);
    CHECK_FALSE(text.ends_with("0\r\n\r\n"));
}

// Guards against continuing an interrupted run in a failure domain that was drained after the backup had been reserved there.
TEST_CASE("A run isn't continued at a backup whose failure domain is drained")
{
    Gate crash;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        crash.await();
        connection.reset();
    });
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 4); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e1\n\n");
    fixture.registry.setDrained(FailureDomainId("a1"), true);
    crash.open();
    caller.readAll();
    CHECK(standby.requests().empty());
}

TEST_CASE("A resumable stream is continued at another engine without a memory copy")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.reset();
    });
    ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 4); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
    CHECK(ScriptedConnection::field(other.requests().front(), "Memory").empty());
}

TEST_CASE("An event out of order truncates the stream and isn't forwarded")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.sendEvent(2);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    auto text = caller.readAll();
    CHECK(timesReceived(text, 2) == 0);
    CHECK_FALSE(text.ends_with("0\r\n\r\n"));
}

TEST_CASE("The run is cancelled when the caller of a stream disconnects")
{
    Gate ended;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.awaitClose();
        ended.open();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e0\n\n");
    caller.close();
    ended.await();
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("A stream whose head has an impossible status is no response, so its request gets a 502")
{
    auto status = GENERATE(as<std::string>(), "000", "099", "600", "999", "+20", "2000", "101");
    CAPTURE(status);
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
        connection.send("HTTP/1.1 " + status + " Status\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.sendEvent(0);
        connection.awaitClose();
    });
    GatewayFixture fixture;
    fixture.add("e1", upstream);
    RawCaller caller(fixture);
    caller.request("/long/generate", "r1", "Wait-Ms: 3000\r\n");
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 502 "));
    CHECK(fixture.health.failureRate(UpstreamId("e1")) > 0);
}

TEST_CASE("No response can be written into a stream that has begun")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket caller(listener.address());
    SystemClock clock;
    ConfigHolder config;
    DrainState drain;
    MemoryAccount memory(clock, MemoryLimits { 1'000'000, 100'000 });
    Counters counters;
    CallerChannel channel({ clock, config, drain, memory, counters, {} }, listener.acceptConnection());
    CHECK(channel.beginStream(ResponseHead { 200, ReasonPhrase("OK"), {} }, true));
    CHECK_FALSE(channel.sendResponse(ResponseHead { 502, ReasonPhrase("Bad Gateway"), {} }, "failure", true));
    std::string received(4096, '\0');
    std::string all;
    while (auto count = caller.receiveBytes(received.data(), static_cast<int>(received.size()))) {
        all.append(received, 0, static_cast<std::size_t>(count));
    }
    CHECK(all.find("failure") == std::string::npos);
    CHECK_FALSE(all.ends_with("0\r\n\r\n"));
}

// Guards against an error response, or its text, in the middle of a stream, and against a stream that such a response ends like a complete one.
TEST_CASE("A broken stream is truncated if the upstream that should continue it answers with an error or with nothing")
{
    const std::vector<std::string> responses = {
        "HTTP/1.1 500 Error\r\nId: r1\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 500 Error\r\nId: r1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
        "HTTP/1.1 500 Error\r\nId: r1\r\nMark: m\r\n\r\noops",
        "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 500 Error\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 1\ndata: oops\n\n",
        "HTTP/1.1 503 Busy\r\nId: r1\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 404 None\r\nId: r1\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 302 Found\r\nId: r1\r\nMark: m\r\nLocation: /oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 None\r\nId: r1\r\nMark: m\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
        "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\n",
        "oops\r\n\r\n",
        "",
    };
    for (const auto &response : responses) {
        CAPTURE(response);
        ScriptedUpstream broken([](ScriptedConnection &connection, const std::string &request) {
            connection.beginStream(request);
            connection.sendEvent(0);
            connection.reset();
        });
        ScriptedUpstream failing([&](ScriptedConnection &connection, const std::string & /*request*/) { connection.send(response); });
        GatewayFixture fixture;
        fixture.add("e1", broken);
        fixture.health.recordFailure(UpstreamId("e2"), 1);
        fixture.add("e2", failing);
        RawCaller caller(fixture);
        caller.request("/resumable/plan", "r1");
        auto received = caller.readAll();
        CHECK(failing.requests().size() == 1);
        CHECK(received.find("data: e0\n\n") != std::string::npos);
        CHECK(received.find("oops") == std::string::npos);
        CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("A stream without length and chunks is complete if it ends between two events, and broken off if it ends inside one")
{
    for (const auto *tail : { "", "id: 1\ndata: e", "id: 1\ndata: e1\n" }) {
        CAPTURE(tail);
        ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send(fmt::format("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: e0\n\n{}", tail));
        });
        GatewayFixture fixture;
        fixture.add("e1", engine);
        RawCaller caller(fixture);
        caller.request("/long/plan", "r1", "Connection: close\r\n");
        CHECK(caller.readAll().ends_with("0\r\n\r\n") == std::string(tail).empty());
    }
}
