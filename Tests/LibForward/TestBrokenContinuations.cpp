#include "GatewayFixture.h"
#include "StreamScripts.h"

#include <Support/BrokenAnswers.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Size of a request body in bytes; more than the send buffer of the gateway and the receive buffer of an upstream hold together. */
constexpr std::size_t uploadBytes = 8'000'000;

/** Broken responses of an upstream that should continue a run after event 1. */
std::vector<BrokenAnswer> brokenContinuations()
{
    return brokenAnswers("Id: r1\r\nMark: m\r\n", "id: 2\ndata: o2\n\nid: 3\ndata: o3\n\n");
}

/** A run of two events at engine e1, and engine e2, which answers any request with the broken response. */
class ContinuationFixture
{
public:
    ContinuationFixture(const BrokenAnswer &answer, RequestReading reading, ScriptedUpstream::Script runScript)
        : engine(std::move(runScript))
        , other(
              [&answer](ScriptedConnection &connection, const std::string & /*request*/) {
                  connection.send(answer.bytes);
                  connection.reset();
              },
              reading)
    {
        this->gateway.config.updateIfNewer(GatewayFixture::makeConfig(2, 2, uploadBytes));
        this->gateway.add("e1", this->engine);
    }

    void addOther()
    {
        this->gateway.health.recordFailure(UpstreamId("e2"), 1);
        this->gateway.add("e2", this->other);
    }

    void request(const std::string &path)
    {
        this->caller.request(path, "r1", "Connection: close\r\n", std::string(uploadBytes, 'x'));
    }

    /** Checks that the caller has both events of e1, and can tell that the stream isn't whole. */
    void checkTruncated()
    {
        const auto &text = this->caller.readAll();
        CAPTURE(text);
        CHECK(timesReceived(text, 0) == 1);
        CHECK(timesReceived(text, 1) == 1);
        CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
        CHECK_FALSE(text.ends_with("0\r\n\r\n"));
    }

    ScriptedUpstream engine;
    ScriptedUpstream other;
    GatewayFixture gateway;
    RawCaller caller { gateway };
};

void beginRun(ScriptedConnection &connection, const std::string &request)
{
    connection.beginStream(request);
    sendEvents(connection, 0, 2);
}

}

// Guards against a run that seems to have ended because the upstream that should continue it broke off.
TEST_CASE("A run that is resumed or continued from its standby copy is truncated if the response of the second upstream is broken")
{
    for (const std::string path : { "/resumable/plan", "/long/plan" }) {
        for (const auto &answer : brokenContinuations()) {
            for (auto reading : { RequestReading::Whole, RequestReading::HeadOnly }) {
                CAPTURE(path, answer.name, reading == RequestReading::HeadOnly);
                Gate crash;
                ContinuationFixture fixture(answer, reading, [&](ScriptedConnection &connection, const std::string &request) {
                    if (!ScriptedConnection::field(request, "Memory").empty()) {
                        // e2 makes no copy, from which the run could go on here.
                        connection.respond(503, request, "", "Not-Run: 1\r\n");
                        return;
                    }
                    beginRun(connection, request);
                    crash.await();
                    connection.reset();
                });
                fixture.addOther();
                fixture.request(path);
                fixture.caller.readUntil("data: e1\n\n");
                crash.open();
                fixture.checkTruncated();
                CHECK(fixture.other.requests().size() == 1);
            }
        }
    }
}

TEST_CASE("A run that is transferred from a leaving engine doesn't seem whole if the response of the target is broken, and stays if its head is")
{
    for (const auto &answer : brokenContinuations()) {
        for (auto reading : { RequestReading::Whole, RequestReading::HeadOnly }) {
            CAPTURE(answer.name, reading == RequestReading::HeadOnly);
            Gate finish;
            ContinuationFixture fixture(answer, reading, [&](ScriptedConnection &connection, const std::string &request) {
                if (request.starts_with("POST /move")) {
                    connection.respond(200, request, "handle-1");
                    return;
                }
                beginRun(connection, request);
                finish.await();
                sendEvents(connection, 2, 4);
                connection.endStream();
            });
            fixture.request("/long/plan");
            fixture.caller.readUntil("data: e1\n\n");
            fixture.addOther();
            fixture.gateway.add("e1", fixture.engine, "engines", true);
            fixture.other.awaitRequests(1);
            finish.open();
            const auto &text = fixture.caller.readAll();
            CAPTURE(text);
            auto hasSoundHead = answer.name.find("body") != std::string::npos;
            CHECK((isCompleteStream(text, 4) || (hasSoundHead && !text.ends_with("0\r\n\r\n"))));
        }
    }
}

TEST_CASE("A run stays at its leaving engine if the response to the move is broken")
{
    for (const auto &answer : brokenAnswers("Id: r1\r\n", "handle-1")) {
        CAPTURE(answer.name);
        Gate finish;
        ScriptedUpstream engine([&](ScriptedConnection &connection, const std::string &request) {
            if (request.starts_with("POST /move")) {
                connection.send(answer.bytes);
                connection.reset();
                return;
            }
            beginRun(connection, request);
            finish.await();
            sendEvents(connection, 2, 4);
            connection.endStream();
        });
        ScriptedUpstream target([](ScriptedConnection &connection, const std::string &request) { continueStream(connection, request, 4); });
        GatewayFixture fixture;
        fixture.add("e1", engine);
        RawCaller caller(fixture);
        caller.request("/long/plan", "r1", "Connection: close\r\n");
        caller.readUntil("data: e1\n\n");
        fixture.add("e2", target);
        fixture.add("e1", engine, "engines", true);
        fixture.events.await("move_end", 1);
        finish.open();
        CHECK(isCompleteStream(caller.readAll(), 4));
        CHECK(target.requests().empty());
    }
}

// The replacement breaks off before it is known to have accepted the run, since the request is still being written.
TEST_CASE("A resumable run whose upstream pauses stays there if the response of its replacement is broken")
{
    for (const auto &answer : brokenContinuations()) {
        CAPTURE(answer.name);
        Gate finish;
        ContinuationFixture fixture(answer, RequestReading::HeadOnly, [&](ScriptedConnection &connection, const std::string &request) {
            beginRun(connection, request);
            finish.await();
            sendEvents(connection, 2, 4);
            connection.endStream();
        });
        fixture.addOther();
        fixture.request("/resumable/plan");
        fixture.gateway.events.awaitAny({ "replacement_ended", "run_replaced" });
        finish.open();
        const auto &text = fixture.caller.readAll();
        CAPTURE(text);
        CHECK(isCompleteStream(text, 4));
        CHECK(fixture.other.requests().size() == 1);
    }
}
