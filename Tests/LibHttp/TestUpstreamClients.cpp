#include "ServerFixture.h"

#include <LibHttp/EngineEventDecoder.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

struct Clients
{
    SystemClock clock;
    Counters counters;
    HttpEngineClient engines { clock, counters };
    HttpServiceClient services { clock, counters };

    TimePoint deadline() const
    {
        return this->clock.now() + seconds(5);
    }

    std::string callResult(const std::string &address, bool needsNewConnection = false)
    {
        try {
            ServiceCall call { RequestId("request"), "book", "{}", needsNewConnection };
            return std::to_string(this->services.call(address, call, this->deadline()).status);
        } catch (const Error &error) {
            return fmt::format("{}:{}", resultName(error.code()), runStateName(error.runState()));
        }
    }

    std::string startResult(const std::string &address)
    {
        try {
            GenerationRequest request { RequestId("request"), GenerationId("generation"), "/v1/completions", "{}", 0 };
            auto stream = this->engines.start(address, request, this->deadline());
            std::string text;
            while (true) {
                auto event = stream->next(this->deadline());
                if (event.kind == EngineEvent::Kind::End) {
                    return text + "end" + std::to_string(event.offset.value());
                }
                text += event.text;
            }
        } catch (const Error &error) {
            return fmt::format("{}:{}", resultName(error.code()), runStateName(error.runState()));
        }
    }
};

/** An address that nothing listens on. */
std::string closedAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

}

TEST_CASE("not_run is said only when nothing was written or the upstream refused this very request", "[http]")
{
    StandInUpstream upstream;
    Clients clients;
    auto &behaviour = upstream.behaviour;
    CHECK(clients.callResult(closedAddress()) == "UpstreamUnavailable:not_run");
    CHECK(clients.startResult(closedAddress()) == "UpstreamUnavailable:not_run");
    CHECK(clients.callResult(upstream.address()) == "200");
    CHECK(clients.startResult(upstream.address()) == "t0 t1 t2 t3 t4 end5");
    for (const auto &[status, crosses, omits, call, start] : std::vector<std::tuple<int, bool, bool, std::string, std::string>> {
             { 503, false, false, "UpstreamRefused:not_run", "UpstreamRefused:not_run" },
             { 429, false, false, "UpstreamRefused:not_run", "UpstreamRefused:not_run" },
             { 503, true, false, "AnswerMismatch:unknown", "AnswerMismatch:unknown" },
             { 200, true, false, "AnswerMismatch:unknown", "AnswerMismatch:unknown" },
             { 200, false, true, "AnswerMismatch:unknown", "t0 t1 t2 t3 t4 end5" },
             { 500, false, false, "500", "UpstreamError:unknown" },
             { 400, false, false, "400", "BadRequest:unknown" },
         }) {
        INFO("status " << status << ", crosses " << crosses << ", omits " << omits);
        behaviour.status = status;
        behaviour.crossesRequestIds = crosses;
        behaviour.omitsRequestIds = omits;
        CHECK(clients.callResult(upstream.address(), true) == call);
        CHECK(clients.startResult(upstream.address()) == start);
    }
}

TEST_CASE("A refusal without request id on a reused connection proves nothing", "[http]")
{
    StandInUpstream upstream;
    Clients clients;
    CHECK(clients.callResult(upstream.address()) == "200");
    upstream.behaviour.status = 503;
    upstream.behaviour.omitsRequestIds = true;
    CHECK(clients.callResult(upstream.address()) == "AnswerMismatch:unknown");
    CHECK(clients.callResult(upstream.address(), true) == "UpstreamRefused:not_run");
}

TEST_CASE("A stream without its end is a lost connection, and its rest can be fetched", "[http]")
{
    StandInUpstream upstream;
    Clients clients;
    upstream.behaviour.breakAfter = 3;
    CHECK(clients.startResult(upstream.address()) == "UpstreamConnectionLost:unknown");
    auto stream = clients.engines.resume(upstream.address(), GenerationId("generation"), TokenOffset(3), clients.deadline());
    CHECK(stream->next(clients.deadline()).offset == TokenOffset(3));
    CHECK(stream->next(clients.deadline()).offset == TokenOffset(4));
    CHECK(stream->next(clients.deadline()).kind == EngineEvent::Kind::End);
    upstream.behaviour.status = 404;
    try {
        clients.engines.resume(upstream.address(), GenerationId("generation"), TokenOffset(3), clients.deadline());
        FAIL("an unknown generation was resumed");
    } catch (const Error &error) {
        CHECK(error.code() == ResultCode::GenerationLost);
    }
}

TEST_CASE("A silent stream can be read again after its deadline", "[http]")
{
    StandInUpstream upstream;
    Clients clients;
    upstream.behaviour.pauseAfter = 1;
    GenerationRequest request { RequestId("request"), GenerationId("generation"), "/v1/completions", "{}", 0 };
    auto stream = clients.engines.start(upstream.address(), request, clients.deadline());
    CHECK(stream->next(clients.deadline()).offset == TokenOffset(0));
    try {
        stream->next(clients.clock.now());
        FAIL("a token came although the engine pauses");
    } catch (const Error &error) {
        CHECK(error.code() == ResultCode::UpstreamSilent);
    }
    upstream.behaviour.proceed.set();
    CHECK(stream->next(clients.deadline()).offset == TokenOffset(1));
}

TEST_CASE("Events that contradict the protocol are mismatches, never tokens", "[http]")
{
    for (const auto &[id, data] : std::vector<std::pair<std::string, std::string>> {
             { "", "" },
             { "", "[]" },
             { "", "{" },
             { "", R"({"generation_id":"g","offset":0})" },
             { "", R"({"request_id":"r","offset":0})" },
             { "", R"({"request_id":"r","generation_id":"g"})" },
             { "", R"({"request_id":"r","generation_id":"g","offset":-1})" },
             { "", R"({"request_id":"r","generation_id":"g","offset":"0"})" },
             { "", R"({"request_id":5,"generation_id":"g","offset":0})" },
             { "other/0", R"({"request_id":"r","generation_id":"g","offset":0})" },
             { "g/1", R"({"request_id":"r","generation_id":"g","offset":0})" },
         }) {
        INFO(id << " " << data);
        EngineEventDecoder decoder(GenerationId("g"), TokenOffset(0));
        try {
            decoder.decode({ id, "", data });
            FAIL_CHECK("accepted");
        } catch (const Error &error) {
            CHECK(error.code() == ResultCode::AnswerMismatch);
        }
    }
}
