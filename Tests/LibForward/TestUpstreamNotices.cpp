#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <tuple>

using namespace Lovageward;

namespace {

bool isLeaving(const GatewayFixture &fixture, const std::string &id)
{
    return fixture.registry.evacuationReason(UpstreamId(id), BootId("1")) == EvacuationReason::Draining;
}

/** Scripts of an upstream whose responses have the header field: a complete response, an error, and a refusal to run the request. */
std::map<std::string, ScriptedUpstream::Script> scriptsWithField(const std::string &field)
{
    auto respond = [field](int status, const std::string &body, const std::string &mark) {
        return [=](ScriptedConnection &connection, const std::string &request) { connection.respond(status, request, body, mark + "\r\n" + field + "\r\n"); };
    };
    return { { "whole", respond(200, "run_state", "Mark: m") },
             { "error", respond(500, "run_state", "Mark: m") },
             { "refusal", respond(503, "", "Not-Run: 1") } };
}

}

TEST_CASE("An upstream that announces in any response that it leaves gets no new requests")
{
    for (const auto &[name, script] : scriptsWithField("Leaving: 1")) {
        for (const auto *path : { "/once/book", "/long/plan" }) {
            CAPTURE(name, path);
            ScriptedUpstream upstream(script);
            GatewayFixture fixture;
            fixture.add("s1", upstream, std::string(path) == "/once/book" ? "services" : "engines");
            RawCaller caller(fixture);
            caller.request(path, "r1");
            caller.readUntil("run_state");
            CHECK(isLeaving(fixture, "s1"));
            caller.request(path, "r2");
            CHECK(caller.readUntil("not_run").find("HTTP/1.1 503") != std::string::npos);
            CHECK(upstream.requests().size() == 1);
        }
    }
}

TEST_CASE("The run of an engine that announces in a stream's head that it leaves is transferred to another engine")
{
    ScriptedUpstream leaving([](ScriptedConnection &connection, const std::string &request) {
        if (request.starts_with("POST /move")) {
            connection.respond(200, request, "h1");
            return;
        }
        connection.send(
            fmt::format("HTTP/1.1 200 OK\r\nId: {}\r\nMark: m\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ScriptedConnection::field(request, "Id")));
        connection.sendEvent(0);
        connection.awaitClose();
    });
    ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        for (auto event = std::stoi(ScriptedConnection::field(request, "Last-Event-Id")) + 1; event < 3; ++event) {
            connection.sendEvent(event);
        }
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", leaving);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", other);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    CHECK(caller.readUntil("data: e2\n\n").find("data: e1\n\n") != std::string::npos);
    CHECK(isLeaving(fixture, "e1"));
    CHECK_FALSE(isLeaving(fixture, "e2"));
}

TEST_CASE("Notices in a response to another request are ignored")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string & /*request*/) {
        connection.respond(503, "\r\nId: r0\r\n", "", "Leaving: 1\r\nWait-Ms: 5000\r\n");
    });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    caller.readUntil("run_state");
    CHECK_FALSE(isLeaving(fixture, "s1"));
}

TEST_CASE("While all upstreams refuse for a time, requests are rejected at once with the time of the first one's return and aren't sent")
{
    for (const auto *path : { "/patient/book", "/patient-long/plan" }) {
        CAPTURE(path);
        ScriptedUpstream upstream(
            [](ScriptedConnection &connection, const std::string &request) { connection.respond(503, request, "", "Not-Run: 1\r\nWait-Ms: 60000\r\n"); });
        GatewayFixture fixture;
        fixture.add("s1", upstream, std::string(path) == "/patient/book" ? "services" : "engines");
        RawCaller caller(fixture);
        for (int number = 1; number <= 4; ++number) {
            auto id = fmt::format("r{}", number);
            caller.request(path, id);
            auto response = caller.readUntil(fmt::format("Id: {}\r\n", id));
            response = response.substr(response.rfind("HTTP/1.1"));
            CHECK(response.starts_with("HTTP/1.1 503"));
            auto wait = std::stod(ScriptedConnection::field(response, "Retry-After"));
            // These routes let requests wait for capacity up to their timeout of 15 s, which would shorten the remaining Retry-After.
            CHECK(wait > 50);
            CHECK(wait < 61);
        }
        CHECK(upstream.requests().size() == 1);
    }
}

TEST_CASE("While one upstream refuses for a time, the others serve all requests")
{
    ScriptedUpstream refusing(
        [](ScriptedConnection &connection, const std::string &request) { connection.respond(503, request, "", "Not-Run: 1\r\nWait-Ms: 3000\r\n"); });
    ScriptedUpstream free([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("refusing", refusing, "services");
    fixture.health.recordFailure(UpstreamId("free"), 0.2);
    fixture.add("free", free, "services");
    RawCaller caller(fixture);
    for (int number = 1; number <= 5; ++number) {
        auto id = fmt::format("r{}", number);
        caller.request("/once/book", id);
        CHECK(caller.readUntil(fmt::format("Id: {}\r\n", id)).find("HTTP/1.1 503") == std::string::npos);
    }
    CHECK(refusing.requests().size() <= 1);
    CHECK(free.requests().size() == 5);
}

TEST_CASE("The rate limit in any response of an upstream is recorded until a genuine response lacks it")
{
    for (const auto &[name, script] : scriptsWithField("Limit: 2.5")) {
        for (const auto *path : { "/once/book", "/long/plan" }) {
            CAPTURE(name, path);
            ScriptedUpstream upstream(script);
            GatewayFixture fixture;
            fixture.add("s1", upstream, std::string(path) == "/once/book" ? "services" : "engines");
            RawCaller caller(fixture);
            caller.request(path, "r1");
            caller.readUntil("Id: r1\r\n");
            UpstreamRecord record;
            record.id = UpstreamId("s1");
            record.boot = BootId("1");
            CHECK(fixture.rateLimits.limit(record) == 2.5);
        }
    }
}

TEST_CASE("Only a response of the upstream itself ends its rate limit")
{
    const std::vector<std::tuple<std::string, std::string, bool>> responses = {
        { "with stamp", "Mark: m\r\n", true },
        { "without stamp", "", false },
        { "malformed limit", "Mark: m\r\nLimit: many\r\n", false },
    };
    for (const auto &[name, fields, isEnd] : responses) {
        CAPTURE(name);
        ScriptedUpstream upstream(
            [&fields = fields](ScriptedConnection &connection, const std::string &request) { connection.respond(500, request, "failed", fields); });
        GatewayFixture fixture;
        fixture.add("s1", upstream, "services");
        UpstreamRecord record;
        record.id = UpstreamId("s1");
        record.boot = BootId("1");
        fixture.rateLimits.recordLimit(record, 100);
        RawCaller caller(fixture);
        caller.request("/once/book", "r1");
        caller.readUntil("failed");
        CHECK(fixture.rateLimits.limit(record).has_value() == !isEnd);
    }
}
