#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

using namespace Lovageward;

namespace {

UpstreamRecord makeUpstream(const std::string &id)
{
    UpstreamRecord upstream;
    upstream.id = UpstreamId(id);
    upstream.boot = BootId("1");
    return upstream;
}

/** Number of nodes with which this node's share of a rate limit allows no request for hours. */
constexpr std::size_t hugeFleet = 10'000;

/** Callers that each send requests to one node, one after the other. */
class RateLimitFixture
{
public:
    explicit RateLimitFixture(std::size_t nodeCount)
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            this->nodes.push_back(std::make_unique<GatewayFixture>());
            this->nodes.back()->fleet.count = nodeCount;
        }
    }

    void add(const std::string &id, const ScriptedUpstream &upstream, const std::string &pool)
    {
        for (auto &node : this->nodes) {
            node->add(id, upstream, pool);
        }
    }

    /** Number of nodes that know a rate limit of the upstream. */
    std::size_t countInformedNodes(const std::string &id) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto &node) { return node->rateLimits.limit(makeUpstream(id)).has_value(); }));
    }

    /** Sends a request to each node. Returns the number of responses with status 200. */
    std::size_t requestOnce(const std::string &path)
    {
        std::size_t successes = 0;
        auto id = fmt::format("r{}", ++this->requestCount);
        for (auto &node : this->nodes) {
            RawCaller caller(*node);
            caller.request(path, id);
            successes += caller.readUntil(fmt::format("Id: {}\r\n", id)).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return successes;
    }

private:
    std::vector<std::unique_ptr<GatewayFixture>> nodes;
    std::size_t requestCount = 0;
};

/** Requests that `nodeCount` nodes together may send to an upstream in the time since `start`, if each has sent one before it learned of the limit. */
double allowedRequests(double requestsPerSecond, std::size_t nodeCount, std::chrono::steady_clock::time_point start)
{
    auto elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    return 2 * static_cast<double>(nodeCount) + requestsPerSecond * elapsed;
}

}

// Guards against a gateway that goes on sending at its full rate to an upstream that states a rate limit (incident evcilkare-lovageward-inc1).
TEST_CASE("The nodes together send no more requests to an upstream than the rate limit that it states")
{
    constexpr double requestsPerSecond = 0.5;
    constexpr std::size_t nodeCount = 3;
    constexpr std::size_t requestsPerNode = 20;
    for (const auto *path : { "/once/book", "/long/plan" }) {
        CAPTURE(path);
        ScriptedUpstream limited([&](ScriptedConnection &connection, const std::string &request) {
            connection.respond(200, request, "id: 0\ndata: e0\n\n", fmt::format("Mark: m\r\nLimit: {}\r\n", requestsPerSecond));
        });
        ScriptedUpstream unlimited([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "id: 0\ndata: e0\n\n"); });
        RateLimitFixture fixture(nodeCount);
        const auto *pool = std::string(path) == "/once/book" ? "services" : "engines";
        fixture.add("limited", limited, pool);
        auto start = std::chrono::steady_clock::now();
        fixture.requestOnce(path);
        REQUIRE(limited.requests().size() == nodeCount);
        REQUIRE(fixture.countInformedNodes("limited") == nodeCount);
        fixture.add("unlimited", unlimited, pool);
        std::size_t successes = 0;
        for (std::size_t request = 0; request < requestsPerNode; ++request) {
            successes += fixture.requestOnce(path);
        }
        // The upstream without a limit serves what the other one doesn't accept.
        CHECK(successes == nodeCount * requestsPerNode);
        CHECK(static_cast<double>(limited.requests().size()) <= allowedRequests(requestsPerSecond, nodeCount, start));
    }
}

// Guards against requests that continue a run and exceed the rate limit of an upstream, because they don't pass the placement of new requests.
TEST_CASE("An interrupted run isn't continued at a backup whose request rate is used up")
{
    Gate crash;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(0);
        crash.await();
        connection.reset();
    });
    ScriptedUpstream standby([](ScriptedConnection &connection, const std::string &request) {
        connection.beginStream(request);
        connection.sendEvent(1);
        connection.endStream();
    });
    GatewayFixture fixture;
    fixture.fleet.count = hugeFleet;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e0\n\n");
    REQUIRE(ScriptedConnection::field(engine.requests().front(), "Backup") == standby.address());
    fixture.rateLimits.recordLimit(makeUpstream("e2"), 1);
    crash.open();
    CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
    CHECK(standby.requests().empty());
}

TEST_CASE("The run of a leaving engine isn't transferred to an engine whose request rate is used up")
{
    auto hasBackup = GENERATE(false, true);
    CAPTURE(hasBackup);
    Gate finish;
    Gate offered;
    ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
        if (request.starts_with("POST /move")) {
            connection.respond(200, request, "h1");
            return;
        }
        connection.beginStream(request);
        connection.sendEvent(0);
        finish.await();
        connection.sendEvent(1);
        connection.endStream();
    });
    ScriptedUpstream limited([&](ScriptedConnection &connection, const std::string &request) {
        offered.open();
        connection.beginStream(request);
        connection.sendEvent(1);
        connection.endStream();
    });
    ScriptedUpstream other([&](ScriptedConnection &connection, const std::string &request) {
        offered.open();
        connection.respond(503, request, "", "Not-Run: 1\r\n");
    });
    GatewayFixture fixture;
    fixture.fleet.count = hugeFleet;
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    if (hasBackup) {
        fixture.add("e2", limited);
    }
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1");
    caller.readUntil("data: e0\n\n");
    fixture.rateLimits.recordLimit(makeUpstream("e2"), 1);
    fixture.add("e2", limited);
    fixture.add("e3", other);
    fixture.add("e1", engine, "engines", true);
    // The run is offered to the engine without a limit instead, which refuses it.
    offered.await();
    finish.open();
    CHECK(caller.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    CHECK(limited.requests().empty());
}

TEST_CASE("A request is refused at once if no upstream accepts it within the time for which requests wait for capacity")
{
    for (const auto *path : { "/patient/book", "/patient-long/plan" }) {
        CAPTURE(path);
        ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) { connection.respond(200, request, "done"); });
        GatewayFixture fixture;
        fixture.fleet.count = hugeFleet;
        fixture.add("s1", upstream, std::string(path) == "/patient/book" ? "services" : "engines");
        fixture.rateLimits.recordLimit(makeUpstream("s1"), 1);
        RawCaller caller(fixture);
        caller.request(path, "r1");
        auto response = caller.readUntil("not_run");
        CHECK(response.starts_with("HTTP/1.1 503"));
        // These routes wait for capacity for 15 s, after which the reason would be that all upstreams are full.
        CHECK(response.find("request rates of all upstreams are used up") != std::string::npos);
        // Other nodes have shares of their own, so the caller may return soon.
        CHECK(std::stod(ScriptedConnection::field(response, "Retry-After")) < 1);
        CHECK(upstream.requests().empty());
    }
}
