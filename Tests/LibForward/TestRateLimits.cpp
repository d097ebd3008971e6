#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

using namespace Lovageward;

namespace {

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
        UpstreamRecord upstream;
        upstream.id = UpstreamId(id);
        upstream.boot = BootId("1");
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto &node) { return node->rateLimits.limit(upstream).has_value(); }));
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
