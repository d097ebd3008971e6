#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibPeer/NngPeerTransport.h>
#include <LibPeer/PeerEnvelope.h>

#include <LibPeer/MutableProxy.h>

#include <catch2/catch.hpp>

#include <latch>
#include <semaphore>
#include <thread>

using namespace Lovageward;

namespace {

// Long enough for any machine where an answer is due, short where none can come: neither decides a verdict.
constexpr auto patience = minutes(2);
constexpr auto impatience = milliseconds(150);

class QuietSink final : public LogSink
{
public:
    void write(LogLevel, const std::string &) override
    {
    }
};

/** Answers with its own name and the payload; a payload "hold" waits until the test lets it go, and "fail" throws. */
class NamedHandler final : public PeerHandler
{
public:
    explicit NamedHandler(std::string name) : name(std::move(name))
    {
    }

    std::string handle(const PeerMessage &message) override
    {
        if (message.payload == "fail") {
            throw Error(ResultCode::Internal, RunState::Unknown, "fault");
        }
        if (message.payload == "hold") {
            this->held.wait();
        }
        if (message.payload == "long") {
            return std::string(maximumPeerMessageBytes + 1, 'x');
        }
        return this->name + ":" + message.sender.value() + ":" + message.payload;
    }

    void letGo()
    {
        this->held.count_down();
    }

private:
    std::string name;
    std::latch held { 1 };
};

/** One node's transport, listening on a port that the system chooses. */
struct Endpoint
{
    explicit Endpoint(const std::string &name) : handler(name), router(sink, counters), transport(clock, sink, router, { 4, 8, seconds(1) })
    {
        this->router.registerHandler(PeerMessageKind::Probe, this->handler, 4);
        this->address = this->transport.listen(PeerAddress("tcp://127.0.0.1:0"));
    }

    std::string ask(const PeerAddress &target, const std::string &payload, Duration timeout)
    {
        return this->transport.request(target, { PeerMessageKind::Probe, HostId("a"), payload }, this->clock.now() + timeout);
    }

    ResultCode failure(const PeerAddress &target, const std::string &payload, Duration timeout)
    {
        try {
            this->ask(target, payload, timeout);
            return ResultCode::Ok;
        } catch (const Error &error) {
            return error.code();
        }
    }

    int port() const
    {
        const auto &text = this->address.value();
        return std::stoi(text.substr(text.rfind(':') + 1));
    }

    SystemClock clock;
    QuietSink sink;
    Counters counters;
    NamedHandler handler;
    PeerRouter router;
    NngPeerTransport transport;
    PeerAddress address;
};

}

TEST_CASE("Three nodes answer each other, each request by its own peer", "[peer]")
{
    Endpoint a("a");
    Endpoint b("b");
    Endpoint c("c");
    for (int round = 0; round < 20; ++round) {
        auto payload = std::to_string(round);
        CHECK(a.ask(b.address, payload, patience) == "b:a:" + payload);
        CHECK(a.ask(c.address, payload, patience) == "c:a:" + payload);
    }
    CHECK(a.transport.connectionCount() == 2);
}

TEST_CASE("A silent peer neither delays other peers nor spoils the requests that follow", "[peer]")
{
    Endpoint a("a");
    Endpoint b("b");
    Endpoint silent("silent");
    MutableProxy proxy(silent.port());
    PeerAddress address(proxy.address());
    CHECK(a.ask(address, "1", patience) == "silent:a:1");
    proxy.mute();
    CHECK(a.failure(address, "2", impatience) == ResultCode::PeerTimeout);
    CHECK(a.transport.connectionCount() == 0);
    CHECK(a.ask(b.address, "3", patience) == "b:a:3");
    // The peer lives; only the old connection is dead.
    CHECK(a.ask(address, "4", patience) == "silent:a:4");
    CHECK(proxy.acceptedConnections() == 2);
}

TEST_CASE("Failed requests say whether the message may have been delivered", "[peer]")
{
    Endpoint a("a");
    PeerAddress gone;
    {
        Endpoint closed("closed");
        gone = closed.address;
    }
    Endpoint b("b");
    CHECK(a.failure(gone, "x", impatience) == ResultCode::PeerUnreachable);
    CHECK(a.failure(PeerAddress("nonsense"), "x", impatience) == ResultCode::PeerUnreachable);
    CHECK(a.failure(b.address, "fail", impatience) == ResultCode::PeerTimeout);
    CHECK(a.failure(b.address, "long", impatience) == ResultCode::PeerTimeout);
    CHECK(a.failure(b.address, std::string(maximumPeerMessageBytes, 'x'), impatience) == ResultCode::MalformedMessage);
    CHECK(a.ask(b.address, "5", patience) == "b:a:5");
}

TEST_CASE("A request that times out doesn't end another one on the same connection", "[peer]")
{
    Endpoint a("a");
    Endpoint b("b");
    std::string answer;
    std::thread waiting([&] { answer = a.ask(b.address, "hold", patience); });
    CHECK(a.failure(b.address, "fail", impatience) == ResultCode::PeerTimeout);
    CHECK(a.ask(b.address, "6", patience) == "b:a:6");
    b.handler.letGo();
    waiting.join();
    CHECK(answer == "b:a:hold");
}

TEST_CASE("The number of open connections stays bounded", "[peer]")
{
    Endpoint a("a");
    std::vector<std::unique_ptr<Endpoint>> peers;
    for (int index = 0; index < 12; ++index) {
        peers.push_back(std::make_unique<Endpoint>("p"));
        CHECK(a.ask(peers.back()->address, "7", patience) == "p:a:7");
    }
    CHECK(a.transport.connectionCount() == 8);
    CHECK(a.ask(peers.front()->address, "8", patience) == "p:a:8");
}

TEST_CASE("Requests that time out while answers arrive leave no thread in a close", "[peer]")
{
    constexpr std::size_t threads = 8;
    constexpr int rounds = 400;
    // Left behind if the check fails, because threads that never return still use them.
    auto a = std::make_shared<Endpoint>("a");
    auto b = std::make_shared<Endpoint>("b");
    auto done = std::make_shared<std::counting_semaphore<threads>>(0);
    for (std::size_t thread = 0; thread < threads; ++thread) {
        std::thread([a, b, done] {
            for (int round = 0; round < rounds; ++round) {
                a->failure(b->address, "x", milliseconds(1 + round % 3));
            }
            done->release();
        }).detach();
    }
    for (std::size_t thread = 0; thread < threads; ++thread) {
        REQUIRE(done->try_acquire_for(patience));
    }
}
