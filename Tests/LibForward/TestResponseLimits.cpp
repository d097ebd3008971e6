#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <Support/ResidentMemory.h>

#include <catch2/catch.hpp>

#include <list>

using namespace Lovageward;

namespace {

using Script = ScriptedUpstream::Script;

std::string headFor(const std::string &request, const std::string &rest)
{
    return fmt::format("HTTP/1.1 200 OK\r\nId: {}\r\nMark: m\r\n{}", ScriptedConnection::field(request, "Id"), rest);
}

/** An upstream that sends one part of a response endlessly, and the limit that is to be exceeded. */
struct EndlessPart
{
    std::string limit;
    Script script;
};

std::vector<EndlessPart> endlessParts()
{
    return {
        { "head", [](ScriptedConnection &connection, const std::string & /*request*/) { connection.sendEndlessly("garbage "); } },
        { "head",
          [](ScriptedConnection &connection, const std::string &request) {
              connection.send(headFor(request, ""));
              connection.sendEndlessly("Field: value\r\n");
          } },
        { "interim", [](ScriptedConnection &connection, const std::string & /*request*/) { connection.sendEndlessly("HTTP/1.1 102 Processing\r\n\r\n"); } },
        { "framing",
          [](ScriptedConnection &connection, const std::string &request) {
              connection.send(headFor(request, "Transfer-Encoding: chunked\r\n\r\n"));
              connection.sendEndlessly("0");
          } },
        { "framing",
          [](ScriptedConnection &connection, const std::string &request) {
              connection.send(headFor(request, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"));
              connection.sendEndlessly("Trailer: value\r\n");
          } },
    };
}

}

TEST_CASE("An endless head, interim response or framing line exceeds its limit and fails the request with unknown run state")
{
    for (const auto &part : endlessParts()) {
        for (const auto *path : { "/once/book", "/long/plan" }) {
            CAPTURE(part.limit, path);
            ScriptedUpstream upstream(part.script);
            GatewayFixture fixture;
            fixture.add("s1", upstream, std::string(path) == "/once/book" ? "services" : "engines");
            RawCaller caller(fixture);
            caller.request(path, "r1");
            auto response = caller.readUntil("run_state");
            CHECK(response.starts_with("HTTP/1.1 502"));
            CHECK(response.find("\"unknown\"") != std::string::npos);
            CHECK(fixture.health.failureRate(UpstreamId("s1")) > 0);
            CHECK(fixture.counters.counter(fmt::format("lovageward_answers_too_long_total{{bound=\"{}\"}}", part.limit)).value() == 1);
        }
    }
}

TEST_CASE("An endless body is forwarded up to its limit and doesn't look complete")
{
    auto framing = GENERATE(std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("\r\n"));
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string &request) {
        connection.send(headFor(request, framing));
        connection.sendEndlessly(framing.empty() || framing[0] != 'T' ? "garbage" : "7\r\ngarbage\r\n");
    });
    GatewayFixture fixture;
    constexpr std::size_t limit = 1'000'000;
    fixture.dependencies.responseLimits.bodyBytes = limit;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    auto response = caller.readAll();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.size() < 2 * limit);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK(fixture.counters.counter("lovageward_answers_cut_total").value() == 1);
    CHECK(fixture.health.failureRate(UpstreamId("s1")) > 0);
}

TEST_CASE("A valid body larger than the buffer reaches the caller completely and the connection stays usable")
{
    const std::string body(1'000'000, 'b');
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, body); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    auto response = caller.readUntil("\r\n0\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(static_cast<std::size_t>(std::count(response.begin(), response.end(), 'b')) >= body.size());
    caller.request("/once/book", "r2");
    caller.readUntil("Id: r2");
    CHECK(upstream.requests().size() == 2);
}

TEST_CASE("A body larger than the buffer isn't forwarded as a success if it is interrupted, unmarked or of another request")
{
    const std::string body(400'000, 'b');
    const std::vector<std::pair<std::string, Script>> cases = {
        { "reset",
          [&](ScriptedConnection &connection, const std::string &request) {
              connection.send(headFor(request, "Content-Length: 500000\r\n\r\n") + body);
              connection.reset();
          } },
        { "unmarked", [&](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, body, ""); } },
        { "other", [&](ScriptedConnection &connection, const std::string & /*request*/) { connection.respond(200, "\r\nId: r0\r\n", body); } },
    };
    for (const auto &[name, script] : cases) {
        CAPTURE(name);
        ScriptedUpstream upstream(script);
        GatewayFixture fixture;
        fixture.add("s1", upstream, "services");
        RawCaller caller(fixture);
        caller.request("/once/book", "r1");
        auto response = name == "reset" ? caller.readAll() : caller.readUntil("run_state");
        CHECK((response.starts_with("HTTP/1.1 502") || !response.ends_with("0\r\n\r\n")));
        CHECK((name == "reset" || response.starts_with("HTTP/1.1 502")));
    }
}

TEST_CASE("Endless comments or an endless event truncate the stream")
{
    auto bytes = GENERATE(std::string(": comment\n"), std::string(": comment\n\n"), std::string("data: more\n"));
    ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.sendEndlessly(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
    });
    GatewayFixture fixture;
    fixture.add("e1", upstream);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    auto response = caller.readAll();
    CHECK(response.find("data: e0\n\n") != std::string::npos);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
}

// Guards against a node that exceeds its memory under events without an end: unfinished events weren't in its account.
TEST_CASE("An event for which there is no memory isn't received further, and its stream is truncated while others go on")
{
    ScriptedUpstream endless([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        connection.sendEndlessly("5\r\nbytes\r\n");
    });
    ScriptedUpstream sound([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        sendEvents(connection, 0, 3);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.add("e1", endless);
    fixture.add("s1", sound, "services");
    auto account = fixture.memory.totalBytes();
    // Both callers' connections and calls fit, and no event beyond them.
    constexpr std::uint64_t connections = 400'000;
    fixture.memory.chargeShared(MemoryPurpose::Body, account - connections);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    auto response = caller.readAll();
    CHECK(response.find("data: e0\n\n") != std::string::npos);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    CHECK(fixture.counters.counter("lovageward_event_memory_exhausted_total").value() == 1);
    RawCaller other(fixture);
    other.request("/feed/lines", "r2");
    CHECK(isCompleteStream(other.readUntil("0\r\n\r\n"), 3));
    CHECK(fixture.memory.usedBytes(MemoryPurpose::Event) == 0);
}

TEST_CASE("A request whose response would find no memory is rejected as not run, before it reaches an upstream")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "answer"); });
    GatewayFixture fixture;
    fixture.add("s1", upstream, "services");
    fixture.memory.chargeShared(MemoryPurpose::Body, fixture.memory.totalBytes());
    RawCaller caller(fixture);
    caller.request("/once/book", "r1");
    auto response = caller.readUntil("run_state");
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 1.000") != std::string::npos);
    CHECK(upstream.requests().empty());
    fixture.memory.releaseShared(MemoryPurpose::Body, fixture.memory.totalBytes());
    RawCaller later(fixture);
    later.request("/once/book", "r2");
    CHECK(later.readUntil("answer").starts_with("HTTP/1.1 200"));
}

TEST_CASE("An error response to a stream request whose body never ends fails at the deadline")
{
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) {
        connection.send(fmt::format("HTTP/1.1 500 Error\r\nId: {}\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n", ScriptedConnection::field(request, "Id")));
        connection.sendSlowlyUntilClosed();
    });
    GatewayFixture fixture;
    fixture.add("e1", upstream);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1", "Wait-Ms: 700\r\n");
    auto response = caller.readUntil("run_state");
    CAPTURE(response);
    CHECK(response.starts_with("HTTP/1.1 502"));
}

TEST_CASE("Memory stays bounded while fifty upstreams send endless responses")
{
    auto script = [](ScriptedConnection &connection, const std::string &request) {
        connection.send(headFor(request, "\r\n"));
        connection.sendEndlessly("garbage");
    };
    ScriptedUpstream upstream(script);
    GatewayFixture fixture;
    for (int number = 0; number < 50; ++number) {
        fixture.add(fmt::format("s{}", number), upstream, "services");
    }
    auto baseline = residentBytes();
    std::list<RawCaller> callers;
    for (int number = 0; number < 50; ++number) {
        callers.emplace_back(fixture).request("/once/book", fmt::format("r{}", number));
    }
    // A caller receives the head once the body buffer is full. The callers read no further, so every response stays buffered at its limit.
    std::size_t peak = 0;
    for (auto &caller : callers) {
        caller.readUntil("\r\n\r\n");
        peak = std::max(peak, residentBytes());
    }
    // The budget is for a node with 88 MB, a third of which it needs otherwise. Upstreams and callers run in this process, too.
    constexpr std::size_t memoryBudget = 55'000'000;
    CHECK(peak - std::min(peak, baseline) < memoryBudget);
}
