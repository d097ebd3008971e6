#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibHttp/ClientSession.h>
#include <LibHttp/HttpEngineClient.h>
#include <LibHttp/HttpHostList.h>
#include <LibHttp/HttpLoadProbe.h>
#include <LibHttp/HttpLogService.h>
#include <LibHttp/HttpOrderSender.h>
#include <LibHttp/HttpServiceClient.h>
#include <LibPolicy/UpstreamTable.h>
#include <Support/BrokenAnswers.h>
#include <Support/ScriptedUpstream.h>

#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <msgpack.hpp>

#include <functional>
#include <thread>

using namespace Lovageward;

namespace {

/** Size of a request body in bytes; more than the send buffer of the client and the receive buffer of the upstream hold together. */
constexpr std::size_t uploadBytes = 8'000'000;

/** All clients of the product's own interface. */
struct Clients
{
    explicit Clients(const std::string &address) : address(address)
    {
        this->table.setUpstream([&] {
            UpstreamState state;
            state.id = UpstreamId("e1");
            state.address = address;
            return state;
        }());
    }

    TimePoint deadline() const
    {
        return this->clock.now() + seconds(15);
    }

    HttpLogSettings logSettings() const
    {
        Poco::Net::SocketAddress parsed(this->address);
        HttpLogSettings settings;
        settings.host = parsed.host().toString();
        settings.port = parsed.port();
        return settings;
    }

    void readStream(EngineStream &stream) const
    {
        while (stream.next(this->deadline()).kind != EngineEvent::Kind::End) {
        }
    }

    std::string address;
    SystemClock clock;
    Counters counters;
    UpstreamTable table { clock, seconds(5) };
    HttpServiceClient services { clock, counters };
    HttpEngineClient engines { clock, counters };
    HttpLoadProbe probe { clock };
    HttpHostList hosts { clock, address };
    HttpOrderSender orders { clock, table };
    HttpLogService log { logSettings(), clock, counters };
};

/** A call whose answer has the header fields and the body. `body` is that of the request, for the calls that send one. */
struct Call
{
    std::string name;
    std::string answerFields;
    std::string answerBody;
    std::function<void(Clients &clients, const std::string &body)> call;
};

std::string encodedLogPage()
{
    using WireRecord = std::tuple<std::uint64_t, std::int64_t, std::string>;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::tuple<std::uint64_t, std::uint64_t, std::vector<WireRecord>>(0, 1, { { 0, 1, "record" } }));
    return { buffer.data(), buffer.size() };
}

/** Events of a stream without its end marker, with which it would be whole whatever follows. */
const std::string unfinishedStream = "id: g/0\ndata: {\"request_id\":\"r\",\"generation_id\":\"g\",\"offset\":0,"
                                     "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t\"}}]}\n\n";

const std::vector<Call> calls {
    { "service",
      "X-Request-Id: r\r\n",
      R"({"chair":1})",
      [](Clients &clients, const std::string &body) {
          clients.services.call(clients.address, { RequestId("r"), "book", body, false }, clients.deadline());
      } },
    { "generation",
      "X-Request-Id: r\r\n",
      unfinishedStream,
      [](Clients &clients, const std::string &body) {
          GenerationRequest request { RequestId("r"), GenerationId("g"), "/v1/completions", body, 0 };
          clients.readStream(*clients.engines.start(clients.address, request, clients.deadline()));
      } },
    { "resumed generation",
      "",
      unfinishedStream,
      [](Clients &clients, const std::string & /*body*/) {
          clients.readStream(*clients.engines.resume(clients.address, GenerationId("g"), TokenOffset(0), clients.deadline()));
      } },
    { "load report",
      "",
      R"({"bootId":"b","phase":"warm","running":1})",
      [](Clients &clients, const std::string & /*body*/) { clients.probe.probe(clients.address, clients.deadline()); } },
    { "host list", "", "[]", [](Clients &clients, const std::string & /*body*/) { clients.hosts.fetch(clients.deadline()); } },
    { "order",
      "",
      "{}",
      [](Clients &clients, const std::string &body) {
          clients.orders.send({ "o1", UpstreamId("e1"), OrderKind::LoadModel, ModelId("m"), body, FencingNumber(1) }, clients.deadline());
      } },
    { "append",
      "",
      R"({"offset":1,"appendedAt":1})",
      [](Clients &clients, const std::string &body) { clients.log.append(StreamName("config"), body, clients.deadline()); } },
    { "read",
      "",
      encodedLogPage(),
      [](Clients &clients, const std::string & /*body*/) { clients.log.read(StreamName("config"), Offset(0), 10, clients.clock.now()); } },
};

/** Run state of the error that the call throws, "whole answer" if none. */
std::string resultOf(const Call &call, Clients &clients, const std::string &body)
{
    try {
        call.call(clients, body);
        return "whole answer";
    } catch (const Error &error) {
        return std::string(runStateName(error.runState()));
    }
}

/** True for calls that report an unknown run state when their answer breaks off, since they may have had an effect. */
bool hasEffect(const Call &call)
{
    return call.name != "load report" && call.name != "host list" && call.name != "read";
}

}

// Guards against a part of an answer, or bytes that are no answer, that a client takes for a whole one.
TEST_CASE("A broken answer is an error to each client of the product's own interface, whose next call uses another connection", "[http]")
{
    for (const auto &call : calls) {
        for (const auto &answer : brokenAnswers(call.answerFields, call.answerBody)) {
            CAPTURE(call.name, answer.name);
            ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
                connection.send(answer.bytes);
                connection.reset();
            });
            Clients clients(upstream.address());
            for (std::size_t calls = 1; calls <= 2; ++calls) {
                CHECK(resultOf(call, clients, "{}") == (hasEffect(call) ? "unknown" : "not_run"));
                CHECK(upstream.requests().size() == calls);
            }
        }
    }
}

TEST_CASE("A broken answer that arrives while the request is being written is an error whose run state is unknown", "[http]")
{
    const std::string body = fmt::format(R"("{}")", std::string(uploadBytes, 'x'));
    for (const auto &call : calls) {
        if (call.name != "service" && call.name != "generation" && call.name != "order" && call.name != "append") {
            continue;
        }
        for (const auto &answer : brokenAnswers(call.answerFields, call.answerBody)) {
            CAPTURE(call.name, answer.name);
            ScriptedUpstream upstream(
                [&](ScriptedConnection &connection, const std::string & /*request*/) {
                    connection.send(answer.bytes);
                    connection.reset();
                },
                RequestReading::HeadOnly);
            Clients clients(upstream.address());
            CHECK(resultOf(call, clients, body) == "unknown");
        }
    }
}

TEST_CASE("A connection whose answer was broken, or that is reset after a whole answer, can't carry another request", "[http]")
{
    SystemClock clock;
    auto deadline = clock.now() + seconds(15);
    RequestHead request { Method("GET"), RequestTarget("/"), {} };
    for (const auto &answer : brokenAnswers("", "body")) {
        CAPTURE(answer.name);
        ScriptedUpstream upstream([&](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send(answer.bytes);
            connection.reset();
        });
        auto session = ClientSession::connect(clock, upstream.address(), deadline);
        auto exchange = [&] {
            session->exchange(request, {}, deadline);
            session->readWhole(uploadBytes, deadline);
        };
        CHECK_THROWS_AS(exchange(), Poco::Exception);
        CHECK(session->isUnusable());
    }
    ScriptedUpstream upstream([](ScriptedConnection &connection, const std::string &request) {
        connection.respond(200, request, "body");
        connection.reset();
    });
    auto session = ClientSession::connect(clock, upstream.address(), deadline);
    session->exchange(request, {}, deadline);
    CHECK(session->readWhole(uploadBytes, deadline) == "body");
    CHECK(session->isKeptAlive());
    while (!session->isUnusable()) {
        std::this_thread::yield();
    }
}
