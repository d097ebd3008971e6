#include "GatewayFixture.h"

#include <LibPolicy/Hashing.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <vector>

using namespace Lovageward;

namespace {

/** Time from the start of a run to its first output, or to the crash of its engine. */
constexpr Duration prefillTime = milliseconds(110);

/** Number of crashes after which requests with the part are no longer sent, and the number that may be on their way then, as specified. */
constexpr std::size_t crashesBeforeQuarantine = 5;
constexpr std::size_t toleratedRequests = 3;

/** Engines that crash under each request with the prompt part "deadly" and complete all others. */
class FragileEngines
{
public:
    explicit FragileEngines(std::size_t count)
    {
        for (std::size_t engine = 0; engine < count; ++engine) {
            this->engines.push_back(std::make_unique<ScriptedUpstream>([this](ScriptedConnection &connection, const std::string &request) {
                connection.beginStream(request);
                connection.pause(prefillTime);
                if (ScriptedConnection::field(request, "Parts").find("deadly") != std::string::npos) {
                    ++this->crashes;
                    connection.reset();
                    return;
                }
                connection.sendEvent(0);
                connection.endStream();
            }));
        }
    }

    void addTo(GatewayFixture &fixture)
    {
        for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
            fixture.add(fmt::format("e{}", engine), *this->engines[engine]);
        }
    }

    std::size_t crashCount() const
    {
        return this->crashes;
    }

private:
    std::atomic<std::size_t> crashes = 0;
    std::vector<std::unique_ptr<ScriptedUpstream>> engines;
};

/** Sends a request whose prompt has the parts, and returns the response. */
std::string requestWithParts(const GatewayFixture &fixture, const std::string &path, const std::string &id, const std::string &parts)
{
    RawCaller caller(fixture);
    caller.request(path, id, fmt::format("Parts: {}\r\nConnection: close\r\n", parts));
    return caller.readAll();
}

}

// Guards against a gateway that lets requests with one prompt part crash engine after engine (incident evcilkare-lovageward-inc1, rule BUDGET).
TEST_CASE("Once several engines have crashed under requests with a prompt part, such requests are refused, and requests that share their other parts aren't")
{
    constexpr std::size_t requestCount = 15;
    for (const auto *path : { "/resumable/verdict", "/long/plan" }) {
        CAPTURE(path);
        FragileEngines engines(2 * requestCount);
        GatewayFixture fixture;
        engines.addTo(fixture);
        std::string response;
        for (std::size_t request = 0; request < requestCount; ++request) {
            response = requestWithParts(fixture, path, fmt::format("d{}", request), fmt::format("system,deadly,own-{}", request));
        }
        CHECK(engines.crashCount() <= crashesBeforeQuarantine + toleratedRequests);
        CHECK(response.starts_with("HTTP/1.1 503"));
        CHECK(response.find("not_run") != std::string::npos);
        auto sound = requestWithParts(fixture, path, "s1", "system,story-1,own");
        CHECK(sound.starts_with("HTTP/1.1 200"));
        CHECK(sound.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("A repeat of a quarantined request isn't sent, and the caller gets the failure of the first attempt")
{
    FragileEngines engines(8);
    GatewayFixture fixture;
    engines.addTo(fixture);
    requestWithParts(fixture, "/resumable/verdict", "d1", "system,deadly,own-1");
    REQUIRE(engines.crashCount() == 2);
    std::string response;
    for (int request = 2; engines.crashCount() < crashesBeforeQuarantine && !response.starts_with("HTTP/1.1 503"); ++request) {
        response = requestWithParts(fixture, "/resumable/verdict", fmt::format("d{}", request), fmt::format("system,deadly,own-{}", request));
    }
    // The third crash was under the first attempt of the second request, whose run may have had effects.
    CHECK(engines.crashCount() == 3);
}

// Guards against a copy of a run that takes the next engine down although its prompt is known to crash engines.
TEST_CASE("An interrupted run whose prompt is quarantined isn't continued at its backup")
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
    fixture.add("e1", engine);
    fixture.health.recordFailure(UpstreamId("e2"), 1);
    fixture.add("e2", standby);
    RawCaller caller(fixture);
    caller.request("/long/plan", "r1", "Parts: system,deadly,own\r\n");
    caller.readUntil("data: e0\n\n");
    REQUIRE(ScriptedConnection::field(engine.requests().front(), "Backup") == standby.address());
    PromptPartReport report;
    report.part = hashText("deadly");
    report.crashes = { { 1, seconds(3) }, { 2, seconds(2) }, { 3, seconds(1) } };
    REQUIRE(fixture.queriesOfDeath.recordPeerReport(report));
    crash.open();
    CHECK_FALSE(caller.readAll().ends_with("0\r\n\r\n"));
    CHECK(standby.requests().empty());
}

TEST_CASE("Streams that leaving upstreams cut at their end don't count as crashes")
{
    std::vector<std::unique_ptr<ScriptedUpstream>> engines;
    GatewayFixture fixture;
    for (int engine = 0; engine < 4; ++engine) {
        Gate drained;
        ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string &request) {
            connection.beginStream(request);
            connection.sendEvent(0);
            drained.await();
            connection.pause(prefillTime);
            connection.reset();
        });
        auto id = fmt::format("e{}", engine);
        fixture.add(id, upstream);
        RawCaller caller(fixture);
        caller.request("/long/plan", fmt::format("r{}", engine), "Parts: system,story,own\r\nConnection: close\r\n");
        caller.readUntil("data: e0\n\n");
        fixture.add(id, upstream, "engines", true);
        drained.open();
        caller.readAll();
    }
    CHECK_FALSE(fixture.queriesOfDeath.findQuarantine(std::vector<PromptPart> { { "story", TokenCount(1) }, { "system", TokenCount(1) } }));
}
