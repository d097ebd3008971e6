#include <LibCore/ManualClock.h>
#include <LibForward/CallerChannel.h>
#include <LibHttp/ConnectionPhase.h>

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace Lovageward;

namespace {

/** A caller's connection on loopback whose two threads are both played by the test, step by step. */
struct ChannelFixture
{
    ChannelFixture() : caller(listener.address()), channel({ clock, config, drain, memory, counters, {} }, listener.acceptConnection())
    {
    }

    /** Sends bytes and waits until they have arrived. */
    void send(const std::string &bytes)
    {
        this->caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        DescriptorPoller poller;
        poller.add(this->channel.descriptor());
        CHECK(poller.wait(this->clock, this->clock.now() + seconds(20)));
    }

    /** "request", "closed", or the state of the run that an error states. */
    std::string read()
    {
        try {
            return this->channel.readRequest() ? "request" : "closed";
        } catch (const Error &error) {
            return std::string(resultName(error.code())) + ":" + std::string(runStateName(error.runState()));
        }
    }

    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress("127.0.0.1", 0) };
    Poco::Net::StreamSocket caller;
    ManualClock clock;
    ConfigHolder config;
    DrainState drain;
    MemoryAccount memory { clock, MemoryLimits { 1'000'000, 100'000 } };
    Counters counters;
    CallerChannel channel;
};

const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab";

}

// Guards against requests that run and get no answer: a connection was closed to make room though its next request had arrived, and the end that the node
// itself had caused was then read as that of the caller.
TEST_CASE("An idle connection whose next request has arrived isn't released, and its request is served")
{
    ChannelFixture fixture;
    fixture.send(request);
    CHECK_FALSE(fixture.channel.requestRelease(ClientWait::Idle));
    CHECK(fixture.read() == "request");
    CHECK_FALSE(fixture.channel.isDisconnected());

    // The same for the request after a response.
    fixture.send(request);
    CHECK_FALSE(fixture.channel.isDisconnected());
    CHECK_FALSE(fixture.channel.requestRelease(ClientWait::Idle));
    CHECK(fixture.read() == "request");
    CHECK_FALSE(fixture.channel.isDisconnected());
}

TEST_CASE("A connection whose request is being served isn't released, whatever it waited for when it was chosen")
{
    ChannelFixture fixture;
    fixture.send(request);
    CHECK(fixture.read() == "request");
    CHECK_FALSE(fixture.channel.requestRelease(ClientWait::Idle));
    CHECK_FALSE(fixture.channel.requestRelease(ClientWait::Receiving));
    CHECK_FALSE(fixture.channel.isDisconnected());
}

TEST_CASE("A request that arrives after its idle connection was released is rejected as not run, and never served")
{
    ChannelFixture fixture;
    CHECK(fixture.channel.requestRelease(ClientWait::Idle));
    CHECK_FALSE(fixture.channel.requestRelease(ClientWait::Idle));
    fixture.send(request);
    auto result = fixture.read();
    CHECK((result == "NoCapacity:not_run" || result == "closed"));

    ChannelFixture unused;
    CHECK(unused.channel.requestRelease(ClientWait::Idle));
    CHECK(unused.read() == "closed");
}

// Two threads: one serves two requests, the other asks once for the connection's place or memory, between any two of its steps.
TEST_CASE("A release takes effect only before a request has been received whole, in every order of the two threads")
{
    for (auto wait : { ClientWait::Idle, ClientWait::Receiving }) {
        constexpr int steps = 6;
        for (int releaseBefore = 0; releaseBefore <= steps; ++releaseBefore) {
            CAPTURE(static_cast<int>(wait), releaseBefore);
            ConnectionPhase phase;
            auto isReleased = false;
            auto isServing = false;
            int served = 0;
            const std::vector<std::function<bool()>> thread {
                [&] { return phase.beginReceiving(); },
                [&] { return isServing = phase.beginServing(); },
                [&] {
                    phase.endServing();
                    isServing = false;
                    ++served;
                    return true;
                },
            };
            auto isOpen = true;
            for (int step = 0; step <= steps; ++step) {
                if (step == releaseBefore) {
                    isReleased = phase.release(wait);
                    // A request that is being served is never cut.
                    CHECK_FALSE((isReleased && isServing));
                    CHECK(phase.isReleased() == isReleased);
                }
                if (step < steps && isOpen) {
                    isOpen = thread[static_cast<std::size_t>(step % 3)]();
                    // After a release no request is taken.
                    CHECK(isOpen != isReleased);
                }
            }
            auto isAtWait = releaseBefore % 3 == (wait == ClientWait::Idle ? 0 : 1);
            CHECK(isReleased == isAtWait);
            CHECK(served == (isReleased ? releaseBefore / 3 : 2));
        }
    }
}
