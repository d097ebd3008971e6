#include "Crowd.h"
#include "GatewayProcess.h"
#include "Scripts.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>

using namespace Lovageward::Clients;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Each case guards against a termination or a hang of the gateway by clients that send requests of legal size. Numbers of clients and bounds are fixed:
// the bounds are the settings of the gateway, and the clients ask for a multiple of them. Times only end a wait; no result depends on the machine's speed.

namespace {

constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr GatewayLimits loweredLimits { 48, 256 };
/** Time without progress after which a crowd counts as stopped by the gateway. */
constexpr auto noProgress = seconds(1);
/** Time in which an ordinary caller repeats its request until it is answered. */
constexpr auto callerPatience = seconds(25);
/** A crowd doesn't stop by itself while the ordinary caller asks, including its last attempt. */
constexpr auto longestSending = callerPatience + seconds(15);
/** Time for which a crowd that still makes progress goes on after the ordinary caller was answered. */
constexpr auto sendingAfterResponse = seconds(4);

/** Sends from the crowd on a thread while an ordinary caller asks, and checks the process with the crowd still connected. */
void checkGateway(const GatewayProcess &gateway, Crowd &crowd, milliseconds pauseBetweenWrites)
{
    auto sender = std::async(std::launch::async, [&] { crowd.send(pauseBetweenWrites, noProgress, longestSending); });
    // The crowd's first bytes arrive before the ordinary request.
    std::this_thread::sleep_for(noProgress);
    auto descriptors = gateway.openDescriptors();
    auto isServed = isOrdinaryRequestServed(gateway.ip(), 100, callerPatience);
    descriptors = std::max(descriptors, gateway.openDescriptors());
    sender.wait_for(sendingAfterResponse);
    crowd.stopSending();
    sender.get();
    auto isServedAfterwards = isOrdinaryRequestServed(gateway.ip(), 100, callerPatience);
    descriptors = std::max(descriptors, gateway.openDescriptors());
    auto peak = gateway.peakResidentBytes();
    WARN(fmt::format("peak resident memory {} bytes, with unread bytes {}, unread bytes {}, open descriptors {}",
                     peak,
                     gateway.peakMemoryBytes(),
                     gateway.process().peakUnreadBytes(),
                     descriptors));
    CHECK(gateway.isAlive());
    CHECK(peak <= loweredLimits.memoryMegabytes * bytesPerMegabyte);
    // The platform counts bytes that wait in the kernel as memory of the process.
    CHECK(gateway.peakMemoryBytes() <= loweredLimits.memoryMegabytes * bytesPerMegabyte);
    CHECK(descriptors <= static_cast<std::size_t>(loweredLimits.descriptors));
    CHECK(isServed);
    CHECK(isServedAfterwards);
}

}

TEST_CASE("Whole bodies of the largest size at once stay within the memory setting")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    auto script = lengthScript(0);
    script.repetitions = 2;
    crowd.add(32, script);
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Bodies in pieces that stop a byte short stay within the memory setting")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    constexpr std::size_t pieceBytes = 16'384;
    crowd.add(24, lengthScript(1, pieceBytes));
    crowd.add(24, chunkedScript(1));
    crowd.add(3, lengthScript(0, pieceBytes));
    crowd.add(3, chunkedScript(0));
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Bodies sent a byte at a time leave room for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(120, lengthScript(0, 1));
    checkGateway(gateway, crowd, milliseconds(50));
}

TEST_CASE("Heads that never end leave room for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(120, endlessHeadScript());
    checkGateway(gateway, crowd, milliseconds(50));
}

TEST_CASE("Pipelined requests whose responses are not read stay within the memory setting")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(16, pipelinedScript());
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Responses and streams that are not read stay within the memory setting")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(75, unreadScript(false));
    crowd.add(25, unreadScript(true));
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Connections left idle stay within the descriptor setting and leave room for an ordinary caller")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(320, ClientScript());
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("All kinds of demanding clients together stay within the settings")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(60, ClientScript());
    crowd.add(8, lengthScript(0));
    crowd.add(8, lengthScript(1));
    crowd.add(8, chunkedScript(1));
    crowd.add(20, lengthScript(0, 1));
    crowd.add(20, endlessHeadScript());
    crowd.add(6, pipelinedScript());
    crowd.add(10, unreadScript(false));
    crowd.add(10, unreadScript(true));
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Bodies that stop a byte short on more connections than are served stay within the memory setting")
{
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(150, lengthScript(1));
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Bodies below the size that is reserved, each a byte short, stay within the memory setting")
{
    constexpr std::size_t smallBody = 16'000;
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(300, { requestHead("small", false, 0, fmt::format("Content-Length: {}\r\n", smallBody)), plainBody(smallBody), 1, 1, 0 });
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("Bodies announced with Expect: 100-continue that stop a byte short stay within the memory setting")
{
    auto fields = fmt::format("Content-Length: {}\r\nExpect: 100-continue\r\n", largestBody);
    GatewayProcess gateway(loweredLimits);
    Crowd crowd(gateway.ip());
    crowd.add(100, { requestHead("expect", false, 0, fields), plainBody(largestBody), 1, 1, 0 });
    checkGateway(gateway, crowd, milliseconds(1));
}

TEST_CASE("A single request of the largest size is served with 88 MB")
{
    constexpr GatewayLimits smallestNode { 88, 4096 };
    GatewayProcess gateway(smallestNode);
    CHECK(isOrdinaryRequestServed(gateway.ip(), largestBody, callerPatience));
    WARN(fmt::format("peak resident memory {} bytes", gateway.peakResidentBytes()));
    CHECK(gateway.peakResidentBytes() <= smallestNode.memoryMegabytes * bytesPerMegabyte);
}
