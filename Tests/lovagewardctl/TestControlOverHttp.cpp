#include <LibCore/SystemClock.h>
#include <LibHttp/AdministrationServer.h>
#include <LibLog/InMemoryLogService.h>
#include <Support/BrokenAnswers.h>
#include <Support/ConfigNode.h>
#include <Support/ReadOnAppendLog.h>
#include <Support/ScriptedUpstream.h>
#include <lovagewardctl/Control.h>
#include <lovagewardctl/HttpAdminTransport.h>

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include <array>
#include <sstream>
#include <thread>

using namespace Lovageward;

namespace {

struct NodeFixture
{
    NodeFixture()
    {
        this->feeding.node = &this->node;
        this->node.membership.add("one", Offset(0));
        this->node.readAll();
        this->settings.keys = { "operator:" + hashOfKey("op") };
    }

    ManualClock clock;
    InProcessPeerTransport peers;
    InMemoryLogService inner { clock, minutes(30) };
    ReadOnAppendLog feeding { inner };
    ConfigNode node { "one", clock, feeding, peers, 1 };
    UpstreamTable upstreams { clock, seconds(5) };
    AdministrationSettings settings;
};

}

TEST_CASE_METHOD(NodeFixture, "The command line and the administration API agree on paths, values and results", "[control]")
{
    MemoryAccount memory(this->clock, MemoryLimits { 10'000'000 });
    AdministrationServer server(this->settings,
                                this->clock,
                                memory,
                                this->node.random,
                                this->node.sink,
                                this->node.counters,
                                this->node.store,
                                this->node.audit,
                                this->node.membership,
                                this->upstreams,
                                nullptr);
    auto environment
        = [&server](const std::string &name) { return name == "LOVAGEWARD_ADMIN" ? fmt::format("127.0.0.1:{}", server.port()) : std::string("op"); };
    struct Case
    {
        std::vector<std::string> arguments;
        int exitCode;
        const char *shows;
    };
    const std::vector<Case> cases = {
        { { "model", "set", "tailor-llm", "--model-version", "3", "--adapters", "plan,verdict" }, 0, "accepted as version 1" },
        { { "pool", "set", "tailor-llm", "--models", "tailor-llm", "--fencing", "honours", "--minimum-warm", "60" }, 0, "version 2" },
        { { "pool", "set", "shop-app" }, 0, "version 3" },
        { { "class", "set", "plan", "--model", "tailor-llm", "--target-ms", "600000", "--delivery", "hold" }, 0, "version 4" },
        { { "class", "set", "booking", "--kind", "service", "--pool", "shop-app", "--operation", "book", "--repeatable", "false" }, 0, "version 5" },
        { { "class", "set", "wrong", "--model", "nix" }, 6, "model/nix, which doesn't exist" },
        { { "team", "set", "atelier", "--share", "2", "--wait" }, 0, "in force on 1 of 1 nodes" },
        { { "team", "rotate-key", "atelier" }, 0, "lw_" },
        { { "team", "list" }, 0, "atelier  8        1" },
        { { "drain", "add", "surat-a", "--reason", "power", "--wait" }, 0, "accepted" },
        { { "drain", "list" }, 0, "surat-a" },
        { { "status" }, 0, "surat-a" },
        { { "drain", "remove", "surat-a" }, 0, "version 10" },
        { { "drain", "add", "surat-a", "--based-on", "0" }, 6, "600 VersionConflict" },
        { { "model", "remove", "tailor-llm" }, 6, "still used by class/plan" },
        { { "audit", "--entity", "drain/surat-a", "--limit", "2" }, 0, "conflict" },
        { { "class", "list", "--json" }, 0, R"("targetTimeMs":600000)" },
        { { "order", "tailor-llm", "LoadModel", "tailor-llm" }, 6, "603 OrderRejected" },
        { { "wait", "unknown", "--timeout", "0" }, 2, "203 DeadlineExceeded" },
        { { "status", "--key", "wrong" }, 1, "105 Unauthenticated" },
    };
    for (const auto &step : cases) {
        CAPTURE(step.arguments);
        std::ostringstream shown;
        CHECK(runControl(step.arguments, environment, shown, shown) == step.exitCode);
        CHECK_THAT(shown.str(), Catch::Contains(step.shows));
    }
    CHECK(this->node.store.workClass(WorkClassId("plan"))->delivery == DeliveryMode::Hold);
    CHECK_FALSE(this->node.store.workClass(WorkClassId("booking"))->isRepeatable);
    CHECK(this->node.store.team(TeamId("atelier"))->keyHashes.size() == 1);
}

// Guards against a list that ends in the middle, or a change that is reported as accepted, because the node ended while it answered.
TEST_CASE("An answer of the administration API that breaks off is an error, and for a change an unknown outcome", "[control]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"items\":[]}\n";
    for (const auto *method : { "GET", "PUT" }) {
        for (std::size_t length = 0; length <= answer.size(); ++length) {
            CAPTURE(method, length);
            Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
            std::thread node([&] {
                auto connection = listener.acceptConnection();
                std::array<char, 4096> request {};
                connection.receiveBytes(request.data(), static_cast<int>(request.size()));
                connection.sendBytes(answer.data(), static_cast<int>(length));
            });
            SystemClock clock;
            HttpAdminTransport transport(clock, listener.address().toString(), "op", seconds(10));
            std::string result;
            try {
                result = transport.call(method, "teams", "").body;
            } catch (const Error &error) {
                result = resultName(error.code());
            }
            node.join();
            auto failure = std::string(method) == "GET" ? "PeerUnreachable" : "OutcomeUnknown";
            CHECK(result == (length == answer.size() ? "{\"items\":[]}\n" : failure));
        }
    }
}

// Guards against a list that lacks entries, or a change that is reported as accepted, because the bytes received were no whole answer.
TEST_CASE("A broken answer of the administration API is an error, and for a change an unknown outcome", "[control]")
{
    // More than the send buffer of the client and the receive buffer of the node hold together.
    const std::string upload(8'000'000, 'x');
    for (const std::string method : { "GET", "PUT" }) {
        for (const auto &answer : brokenAnswers("Content-Type: application/json\r\n", "{\"items\":[]}\n")) {
            for (auto reading : { RequestReading::Whole, RequestReading::HeadOnly }) {
                CAPTURE(method, answer.name, reading == RequestReading::HeadOnly);
                ScriptedUpstream node(
                    [&](ScriptedConnection &connection, const std::string & /*request*/) {
                        connection.send(answer.bytes);
                        connection.reset();
                    },
                    reading);
                SystemClock clock;
                HttpAdminTransport transport(clock, node.address(), "op", seconds(15));
                std::string result;
                try {
                    result = transport.call(method, "teams", reading == RequestReading::HeadOnly ? upload : "").body;
                } catch (const Error &error) {
                    result = resultName(error.code());
                }
                CHECK(result == (method == "GET" ? "PeerUnreachable" : "OutcomeUnknown"));
            }
        }
    }
}
