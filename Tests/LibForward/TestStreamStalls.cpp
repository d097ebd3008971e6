#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Sends two events, pauses for longer than the time after which a stream counts as stalled, and goes on to the end. */
void sendWithPause(ScriptedConnection &connection, const std::string &request, int eventCount)
{
    connection.beginStream(request);
    sendEvents(connection, 0, 2);
    connection.pause(milliseconds(2200));
    sendEvents(connection, 2, eventCount);
    connection.endStream();
}

}

// Guards against a stream that is cut although its upstream lives, because the upstream pauses and the stream can't go on elsewhere.
TEST_CASE("A resumable stream whose upstream pauses stays there if no other upstream continues it")
{
    auto obstacle = GENERATE(std::string("no other upstream"), std::string("retry budget"), std::string("refusal"), std::string("reset"), std::string("error"));
    CAPTURE(obstacle);
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) { sendWithPause(connection, request, 4); });
    ScriptedUpstream other([&](ScriptedConnection &connection, const std::string &request) {
        if (obstacle == "reset") {
            connection.reset();
        } else {
            connection.respond(obstacle == "refusal" ? 503 : 500, request, "", obstacle == "refusal" ? "Not-Run: 1\r\n" : "Mark: m\r\n");
        }
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    if (obstacle != "no other upstream") {
        fixture.health.recordFailure(UpstreamId("e2"), 1);
        fixture.add("e2", other);
    }
    while (obstacle == "retry budget" && fixture.retries.tryRetry(PoolId("engines"))) {
    }
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("A resumable stream whose last attempt pauses stays there")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.awaitClose();
    });
    ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(2);
        connection.pause(milliseconds(2200));
        sendEvents(connection, 3, 5);
        connection.endStream();
    });
    ScriptedUpstream third([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 5); });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    fixture.health.recordFailure(UpstreamId("e3"), 3);
    fixture.add("e3", third);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 5));
    CHECK(third.requests().empty());
}

TEST_CASE("If a paused upstream goes on before its replacement has sent an event, the stream stays there and the replacement is cancelled")
{
    Gate replacementStarted;
    Gate replacementEnded;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        replacementStarted.await();
        sendEvents(connection, 2, 4);
        connection.endStream();
    });
    ScriptedUpstream other([&](ScriptedConnection &connection, const std::string & /*request*/) {
        replacementStarted.open();
        connection.awaitClose();
        replacementEnded.open();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
    replacementEnded.await();
}

TEST_CASE("A resumable stream whose upstream is silent for good goes on at another upstream, and the silent call is cancelled")
{
    Gate cancelled;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.awaitClose();
        cancelled.open();
    });
    ScriptedUpstream other([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        // The other upstream has accepted the run, so the silent one is cancelled before the first event.
        cancelled.await();
        sendEvents(connection, 2, 4);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
    CHECK(ScriptedConnection::field(other.requests().front(), "Last-Event-Id") == "1");
}

// Guards against a stream that is cut because a replacement was asked: the stalled call was given up after 300 ms, and then the replacement refused
// (review/10).
TEST_CASE("A resumable stream whose upstream pauses stays there if its replacement refuses late, or never responds")
{
    auto isRefused = GENERATE(true, false);
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.pause(milliseconds(3000));
        sendEvents(connection, 2, 4);
        connection.endStream();
    });
    ScriptedUpstream other([&](ScriptedConnection &connection, const std::string &request) {
        if (isRefused) {
            connection.pause(milliseconds(800));
            connection.respond(503, request, "", "Not-Run: 1\r\n");
        } else {
            connection.awaitClose();
        }
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("A stream whose upstream and first replacement are silent goes on at a third upstream if an attempt is left")
{
    auto silent = [](ScriptedConnection &connection, const std::string & /*request*/) { connection.awaitClose(); };
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 2);
        connection.awaitClose();
    });
    ScriptedUpstream other(silent);
    ScriptedUpstream third([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 4); });
    GatewayFixture fixture;
    fixture.config.updateIfNewer(GatewayFixture::makeConfig(2, 3));
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    fixture.health.recordFailure(UpstreamId("e3"), 3);
    fixture.add("e3", third);
    RawCaller caller(fixture);
    caller.request("/resumable/verdict", "r1");
    CHECK(isCompleteStream(caller.readUntil("0\r\n\r\n"), 4));
}
