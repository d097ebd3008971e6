#include "Crowd.h"
#include "GatewayProcess.h"
#include "Scripts.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <random>
#include <thread>

using namespace Lovageward::Clients;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against clients that keep the load balancer's probe, or the platform's read of the metrics, from being answered: all nodes can be put out of service
// that way from few connections. Each case checks every address of the process with the crowd still connected.

namespace {

constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr GatewayLimits loweredLimits { 48, 256 };
constexpr auto noProgress = seconds(1);
constexpr auto patience = seconds(25);
constexpr auto sendingTime = seconds(4);

ClientScript textScript(std::string text)
{
    return { std::move(text), nullptr, 1 };
}

ClientScript bodyScript(std::size_t bytes)
{
    return { fmt::format("POST /metrics HTTP/1.1\r\nHost: node\r\nContent-Length: {}\r\n\r\n", bytes), plainBody(bytes), 1, 1 };
}

/** Checks that the process lives within its settings and answers on all of its addresses. */
void checkAllAddresses(const GatewayProcess &gateway)
{
    CHECK(isProbeAnswered(gateway.ip(), gatewayReadinessPort, "/ready", patience));
    CHECK(isProbeAnswered(gateway.ip(), gatewayControlPort, "/metrics", patience));
    CHECK(isOrdinaryRequestServed(gateway.ip(), 100, patience));
    WARN(fmt::format("peak memory {} bytes, unread bytes {}, open descriptors {}",
                     gateway.peakMemoryBytes(),
                     gateway.process().peakUnreadBytes(),
                     gateway.openDescriptors()));
    CHECK(gateway.isAlive());
    CHECK(gateway.peakMemoryBytes() <= loweredLimits.memoryMegabytes * bytesPerMegabyte);
    CHECK(gateway.openDescriptors() <= static_cast<std::size_t>(loweredLimits.descriptors));
}

void checkWhileSending(const GatewayProcess &gateway, Crowd &crowd)
{
    auto sender = std::async(std::launch::async, [&] { crowd.send(milliseconds(1), noProgress, sendingTime); });
    std::this_thread::sleep_for(noProgress);
    checkAllAddresses(gateway);
    sender.get();
    checkAllAddresses(gateway);
}

}

TEST_CASE("Connections that sent one byte leave room for a probe")
{
    auto port = GENERATE(gatewayReadinessPort, gatewayControlPort);
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip(), port);
    crowd.add(200, textScript("G"));
    checkWhileSending(gateway, crowd);
}

TEST_CASE("Connections from many addresses that sent one byte leave room for a probe")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip(), gatewayReadinessPort);
    crowd.add(200, textScript("G"), 100);
    checkWhileSending(gateway, crowd);
}

TEST_CASE("Unread metrics and unfinished bodies leave room for a probe")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip(), gatewayControlPort);
    crowd.add(100, textScript("GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n"));
    crowd.add(100, bodyScript(1'048'576));
    checkWhileSending(gateway, crowd);
}

TEST_CASE("Clients of all kinds on all addresses at once leave room for a probe and for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    Crowd readiness(gateway.ip(), gatewayReadinessPort);
    readiness.add(100, textScript("G"), 10);
    Crowd control(gateway.ip(), gatewayControlPort);
    control.add(50, ClientScript());
    control.add(50, bodyScript(1'048'576));
    control.send(milliseconds(1), noProgress, sendingTime);
    Crowd callers(gateway.ip());
    callers.add(40, ClientScript());
    callers.add(40, lengthScript(1));
    callers.add(20, pipelinedScript());
    callers.add(20, unreadScript(true), 10);
    checkWhileSending(gateway, callers);
}

TEST_CASE("Connections that are opened and reset leave room for a probe and for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    for (int round = 0; round < 100; ++round) {
        for (auto port : { gatewayCallerPort, gatewayReadinessPort, gatewayControlPort }) {
            Crowd crowd(gateway.ip(), port);
            crowd.add(20, textScript("POST /look HTTP/1.1\r\n"));
            crowd.reset();
        }
    }
    checkAllAddresses(gateway);
}

TEST_CASE("Datagrams of any content at the peer port leave room for a probe and for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    std::mt19937 random(55); // NOLINT(cert-msc51-cpp): the same datagrams in each run.
    Poco::Net::DatagramSocket socket;
    Poco::Net::SocketAddress address(gateway.ip(), gatewayPeerPort);
    constexpr std::size_t largestDatagram = 60'000;
    std::string bytes(largestDatagram, 0);
    for (int number = 0; number < 5'000; ++number) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes[number % 8] = static_cast<char>(random());
        socket.sendTo(bytes.data(), static_cast<int>(random() % bytes.size()), address);
    }
    checkAllAddresses(gateway);
}

TEST_CASE("A stop signal ends the process while clients of all kinds are connected to all addresses")
{
    GatewayProcess gateway(loweredLimits);
    Crowd readiness(gateway.ip(), gatewayReadinessPort);
    readiness.add(60, textScript("G"));
    Crowd control(gateway.ip(), gatewayControlPort);
    control.add(60, bodyScript(1'048'576));
    control.send(milliseconds(1), noProgress, sendingTime);
    Crowd callers(gateway.ip());
    callers.add(20, ClientScript());
    callers.add(20, lengthScript(1));
    callers.add(10, pipelinedScript());
    callers.add(10, unreadScript(true));
    auto sender = std::async(std::launch::async, [&] { callers.send(milliseconds(1), noProgress, sendingTime); });
    std::this_thread::sleep_for(noProgress);
    CHECK(gateway.process().stop(patience));
    sender.get();
}
