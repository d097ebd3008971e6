#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A request and its response are forwarded unchanged, and the connection serves the next request")
{
    ScriptedUpstream upstream(
        [](ScriptedConnection &connection, const std::string &request) { connection.respond(201, request, "made", "Mark: m\r\nOwn: x\r\n"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book?chair=1", "r1", "Custom: kept\r\n", "{\"chair\":1}");
    auto response = caller.readUntil("made");
    CHECK(response.starts_with("HTTP/1.1 201 Status\r\n"));
    CHECK(response.find("Mark: m\r\n") != std::string::npos);
    CHECK(response.find("Own: x\r\n") != std::string::npos);
    auto arrived = upstream.requests().front();
    CHECK(arrived.starts_with("POST /once/book?chair=1 HTTP/1.1\r\n"));
    CHECK(arrived.find("Custom: kept\r\n") != std::string::npos);
    CHECK(arrived.ends_with("{\"chair\":1}"));

    caller.request("/once/book", "r2");
    caller.readUntil("Id: r2");
    CHECK(upstream.requests().size() == 2);
}

TEST_CASE("A request that an upstream refuses as not run is sent to another upstream")
{
    ScriptedUpstream full([](ScriptedConnection &connection, const std::string &request) { connection.respond(503, request, "", "Not-Run: 1\r\n"); });
    ScriptedUpstream free([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("full", full, "services");
    fixture.health.recordFailure(UpstreamId("free"), 0.2);
    fixture.add("free", free, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    CHECK(caller.readUntil("done").starts_with("HTTP/1.1 200"));
    CHECK(free.requests().size() == 1);
}

TEST_CASE("An at-most-once request whose response is lost isn't retried and is reported with unknown run state")
{
    ScriptedUpstream losing([](ScriptedConnection &connection, const std::string & /*request*/) { connection.reset(); });
    ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("losing", losing, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    losing.awaitRequests(1);
    fixture.add("other", other, "services");
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"unknown\"") != std::string::npos);
    CHECK(response.find("Retry-After") == std::string::npos);
    CHECK(other.requests().empty());
}

TEST_CASE("An idempotent request whose response is lost is retried at another upstream up to the route's maximum of attempts")
{
    ScriptedUpstream losing([](ScriptedConnection &connection, const std::string & /*request*/) { connection.reset(); });
    ScriptedUpstream alsoLosing([](ScriptedConnection &connection, const std::string & /*request*/) { connection.reset(); });
    ScriptedUpstream third([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("losing", losing, "services");
    fixture.add("alsoLosing", alsoLosing, "services");
    fixture.health.recordFailure(UpstreamId("third"), 100);
    fixture.add("third", third, "services");
    RawCaller caller(fixture);
    caller.request("/plain/look", "r1");
    CHECK(caller.readUntil("run_state").starts_with("HTTP/1.1 502"));
    CHECK(losing.requests().size() + alsoLosing.requests().size() == 2);
    CHECK(third.requests().empty());
}

TEST_CASE("A response of another request, without a mark or truncated isn't forwarded as a success")
{
    using Script = ScriptedUpstream::Script;
    const std::vector<Script> scripts = {
        [](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send("HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret");
        },
        [](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "secret", ""); },
        [](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 60\r\n\r\nsecret");
        },
        [](ScriptedConnection &connection, const std::string & /*request*/) { connection.send("secret\r\n\r\nsecret"); },
        [](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send("HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\nsecret");
            connection.reset();
        },
    };
    for (const auto &script : scripts) {
        ScriptedUpstream upstream(script);
        GatewayFixture fixture;
        fixture.add("s1", upstream, "services");
        RawCaller caller(fixture);
        caller.request("/once/book", "r1");
        auto response = caller.readUntil("run_state");
        CHECK(response.starts_with("HTTP/1.1 502"));
        CHECK(response.find("secret") == std::string::npos);
    }
}

// Guards against an earlier refusal, repeated by a faulty upstream, that is taken for the refusal of a request that the upstream is running.
// Guards against a response that looks complete, or like a refusal, because its upstream ended in the middle of the head.
TEST_CASE("A response whose head breaks off anywhere isn't forwarded and its run state is unknown")
{
    for (const std::string statusLine : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" }) {
        auto head = statusLine + "Id: r1\r\nMark: m\r\nContent-Length: 4\r\n\r\n";
        for (auto length = statusLine.size(); length < head.size(); length += 3) {
            for (const auto *path : { "/once/book", "/long/plan" }) {
                CAPTURE(statusLine, length, path);
                ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) { connection.send(head.substr(0, length)); });
                GatewayFixture fixture;
                fixture.add("s1", upstream, std::string(path) == "/once/book" ? "services" : "engines");
                RawCaller caller(fixture);
                caller.request(path, "r1");
                auto response = caller.readUntil("run_state");
                CHECK(response.starts_with("HTTP/1.1 502"));
                CHECK(response.find("\"unknown\"") != std::string::npos);
                CHECK(upstream.requests().size() == 1);
            }
        }
    }
}

TEST_CASE("A refusal of another request proves nothing about this one: an at-most-once request isn't sent again and its run state is unknown")
{
    for (const auto *path : { "/once/book", "/long/plan" }) {
        for (const auto *status : { "503 Busy", "429 Busy", "421 Other" }) {
            CAPTURE(path, status);
            ScriptedUpstream faulty([&](ScriptedConnection &connection, const std::string &request) {
                connection.send(fmt::format("HTTP/1.1 {}\r\nId: r0\r\nNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", status));
                connection.respond(200, request, "id: 0\ndata: e0\n\n");
            });
            ScriptedUpstream other([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
            GatewayFixture fixture;
            const auto *pool = std::string(path) == "/once/book" ? "services" : "engines";
            fixture.add("faulty", faulty, pool);
            fixture.health.recordFailure(UpstreamId("other"), 1);
            fixture.add("other", other, pool);
            RawCaller caller(fixture);
            caller.request(path, "r1");
            auto response = caller.readUntil("run_state");
            CHECK(response.starts_with("HTTP/1.1 502"));
            CHECK(response.find("not_run") == std::string::npos);
            CHECK(faulty.requests().size() == 1);
            CHECK(other.requests().empty());
        }
    }
}

TEST_CASE("Bytes after a complete response are discarded, and a response without length ends when the connection is closed")
{
    ScriptedUpstream extra([](ScriptedConnection &connection, const std::string &request) {
        connection.respond(200, request, "first");
        connection.respond(200, request, "second");
    });
    ScriptedUpstream unframed(
        [](ScriptedConnection &connection, const std::string & /*request*/) { connection.send("HTTP/1.1 200 OK\r\nId: r2\r\nMark: m\r\n\r\nwhole"); });
    GatewayFixture fixture;
    fixture.add("extra", extra, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    caller.readUntil("first");
    fixture.registry.remove(UpstreamId("extra"));
    fixture.add("unframed", unframed, "services");
    caller.request("/once/book", "r2");
    auto response = caller.readUntil("whole");
    CHECK(response.find("second") == std::string::npos);
    CHECK(response.ends_with("whole"));
}

TEST_CASE("A response sent before the upstream has read the whole request body is forwarded")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(413, request, "too long"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1", {}, std::string(9000, 'x'));
    CHECK(caller.readUntil("too long").starts_with("HTTP/1.1 413"));
}

TEST_CASE("A response with an impossible status is no response, so its request gets a 502 with an unknown run state")
{
    auto status = GENERATE(as<std::string>(), "000", "099", "600", "999", "+20", "-20", "20", "2000", "2x0", "101");
    CAPTURE(status);
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
        connection.send("HTTP/1.1 " + status + " Status\r\nId: r1\r\nMark: m\r\nContent-Length: 2\r\n\r\nok");
        connection.awaitClose();
    });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1", "Wait-Ms: 3000\r\n");
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 502 "));
    CHECK(response.find("\"unknown\"") != std::string::npos);
    CHECK(fixture.health.failureRate(UpstreamId("s1")) > 0);
}

TEST_CASE("An idempotent request is repeated at another upstream after a response with an impossible status")
{
    ScriptedUpstream faulty([](ScriptedConnection &connection, const std::string &request) { connection.respond(999, request, "no"); });
    ScriptedUpstream sound([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "yes"); });
    GatewayFixture fixture;
    fixture.add("s1", faulty, "services");
    fixture.add("s2", sound, "services");
    for (int number = 0; number < 8; ++number) {
        RawCaller caller(fixture);
        caller.request("/plain/look", fmt::format("r{}", number), "Connection: close\r\n");
        auto response = caller.readAll();
        CHECK(response.starts_with("HTTP/1.1 200 "));
        CHECK(response.ends_with("yes"));
    }
    CHECK(fixture.health.failureRate(UpstreamId("s1")) > 0);
}

TEST_CASE("The body of a request reaches the upstream unchanged, whether it has a length or chunks")
{
    ScriptedUpstream upstream(
        [](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, request.substr(request.find("\r\n\r\n") + 4)); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    std::string body;
    for (int number = 0; body.size() < 9'000; ++number) {
        body += fmt::format("{},", number);
    }
    RawCaller caller(fixture);
    caller.request("/once/book", "r1", {}, body);
    CHECK(caller.readUntil(body).ends_with("\r\n\r\n" + body));
    RawCaller chunked(fixture);
    chunked.send("POST /once/book HTTP/1.1\r\nHost: test\r\nId: r2\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t offset = 0; offset < body.size(); offset += 1'000) {
        auto part = body.substr(offset, 1'000);
        chunked.send(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
    }
    chunked.send("0\r\n\r\n");
    CHECK(chunked.readUntil(body).ends_with("\r\n\r\n" + body));
}

TEST_CASE("The upstream call is cancelled when the caller disconnects")
{
    Gate ended;
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
        connection.awaitClose();
        ended.open();
    });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/plain/look", "r1");
    upstream.awaitRequests(1);
    caller.close();
    ended.await();
    CHECK(upstream.requests().size() == 1);
}

TEST_CASE("A request without an available upstream is rejected as not run with a Retry-After")
{
    GatewayFixture fixture;
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("\"not_run\"") != std::string::npos);
    CHECK(response.find("Retry-After: 1.") != std::string::npos);
}

TEST_CASE("A request is sent to another upstream if the connection to the first one fails")
{
    auto gone = std::make_unique<ScriptedUpstream>([](ScriptedConnection & /*connection*/, const std::string & /*request*/) {});
    ScriptedUpstream healthy([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("gone", *gone, "services");
    gone.reset();
    fixture.health.recordFailure(UpstreamId("sound"), 0.2);
    fixture.add("sound", healthy, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    CHECK(caller.readUntil("done").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Invalid requests get an error response, and the connection is closed if its framing state is unknown")
{
    struct Case
    {
        std::string request;
        std::string status;
    };
    const std::vector<Case> cases = {
        { "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "400" },
        { "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nContent-Length: 99999\r\n\r\n", "413" },
        { "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nLong: " + std::string(20'000, 'x') + "\r\n\r\n", "431" },
        { "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400" },
    };
    for (const auto &tested : cases) {
        GatewayFixture fixture;
        RawCaller caller(fixture);
        caller.send(tested.request);
        CHECK(caller.readAll().starts_with("HTTP/1.1 " + tested.status));
    }
    GatewayFixture fixture;
    RawCaller caller(fixture);
    caller.send("POST /unknown/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
    CHECK(caller.readUntil("run_state").starts_with("HTTP/1.1 404"));
}

TEST_CASE("A draining node serves requests that have arrived and closes idle connections")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller busy(fixture);
    RawCaller idle(fixture);
    busy.request("/once/book", "r1");
    busy.readUntil("done");
    fixture.drain.begin(fixture.clock.now() + seconds(5));
    busy.request("/once/book", "r2");
    CHECK(busy.readAll().find("Connection: close") != std::string::npos);
    CHECK(upstream.requests().size() == 2);
    fixture.drain.closeIdleConnections();
    CHECK(idle.readAll().empty());
}

TEST_CASE("A draining node rejects a stream whose expected end is after the shutdown")
{
    GatewayFixture fixture;
    fixture.drain.begin(fixture.clock.now() + seconds(2));
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    auto response = caller.readAll();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("ShuttingDown") != std::string::npos);
    CHECK(response.find("Retry-After") != std::string::npos);
}

// Guards against truncation at shutdown of a stream that was accepted 6.5 s after SIGTERM.
TEST_CASE("A draining node rejects a stream of unknown length whose deadline is after the shutdown")
{
    GatewayFixture fixture;
    fixture.drain.begin(fixture.clock.now() + seconds(10));
    RawCaller caller(fixture);
    caller.request("/feed/plan", "r1");
    auto response = caller.readAll();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("ShuttingDown") != std::string::npos);
}

// Guards against truncation at shutdown of streams that were accepted 5 s after SIGTERM because of their expected length, and turned out longer.
TEST_CASE("After idle connections are closed, a draining node accepts a stream only if its deadline is before the shutdown")
{
    ScriptedUpstream engine([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", engine);
    fixture.drain.begin(fixture.clock.now() + seconds(10));
    RawCaller early(fixture);
    early.request("/long/plan", "r1");
    CHECK(early.readAll().starts_with("HTTP/1.1 200"));
    // The interim response shows that the node is reading the request, so the connection isn't idle when idle connections are closed.
    RawCaller late(fixture);
    late.send("POST /long/plan HTTP/1.1\r\nHost: test\r\nId: r2\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    late.readUntil("100 Continue");
    fixture.drain.closeIdleConnections();
    late.send("{}");
    CHECK(late.readAll().find("ShuttingDown") != std::string::npos);
    CHECK(engine.requests().size() == 1);
}

// Guards against a connection that is accepted during a planned stop and closed without a response, because its request comes a moment later.
TEST_CASE("A connection accepted after idle ones were closed still gets a response to its first request, and is closed if none comes")
{
    constexpr int pauseMicroseconds = 100'000;
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    fixture.drain.begin(fixture.clock.now() + seconds(10));
    RawCaller earlier(fixture);
    earlier.request("/once/book", "r1");
    CHECK(earlier.readUntil("done").find("Connection: close") != std::string::npos);
    fixture.drain.closeIdleConnections();
    RawCaller caller(fixture);
    CHECK_FALSE(caller.isReadableWithin(Poco::Timespan(pauseMicroseconds)));
    CHECK(fixture.server->hasUnfinishedWork());
    caller.request("/once/book", "r2", "Wait-Ms: 4000\r\n");
    CHECK(caller.readAll().starts_with("HTTP/1.1 200"));
    RawCaller silent(fixture);
    CHECK(silent.readAll().empty());
    CHECK_FALSE(fixture.server->hasUnfinishedWork());
}

// Guards against a lost response: a unary request that was accepted 7.1 s after SIGTERM was aborted when the process exited.
TEST_CASE("A draining node rejects a unary request that could not complete before the shutdown")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    // The route's target latency is 800 ms.
    fixture.drain.begin(fixture.clock.now() + milliseconds(1000));
    RawCaller caller(fixture);
    caller.request("/plain/look", "r1");
    auto response = caller.readAll();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("\"not_run\"") != std::string::npos);
    CHECK(upstream.requests().empty());
}
