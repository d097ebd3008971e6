#include "Crowd.h"
#include "GatewayProcess.h"

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

constexpr std::size_t largestBody = 4'194'304;
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

std::shared_ptr<const std::string> plainBody(std::size_t bytes)
{
    return std::make_shared<const std::string>(bytes, 'b');
}

/** A chunked body of the given size before encoding. */
std::shared_ptr<const std::string> chunkedBody(std::size_t bytes)
{
    constexpr std::size_t chunkBytes = 65'536;
    std::string text;
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        text += fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'c'));
    }
    return std::make_shared<const std::string>(text + "0\r\n\r\n");
}

ClientScript lengthScript(std::size_t withheldBytes, std::size_t bytesPerWrite = 0)
{
    return { requestHead("length", false, 0, fmt::format("Content-Length: {}\r\n", largestBody)), plainBody(largestBody), 1, withheldBytes, bytesPerWrite };
}

ClientScript chunkedScript(std::size_t withheldBytes)
{
    constexpr std::size_t pieceBytes = 16'384;
    return { requestHead("chunked", false, 0, "Transfer-Encoding: chunked\r\n"), chunkedBody(largestBody), 1, withheldBytes, pieceBytes };
}

/** A head within its limit whose empty line is never sent, a byte at a time after the first line. */
ClientScript endlessHeadScript()
{
    constexpr std::size_t headBytes = 16'000;
    return { "POST /look HTTP/1.1\r\nHost: clients.example\r\nX-Padding: ", plainBody(headBytes), 1, 0, 1 };
}

/** Streams requested one after another without waiting for responses, each with a head near the limit. */
ClientScript pipelinedScript()
{
    // The head stays within the default limit of 16,384 bytes.
    constexpr std::size_t paddingBytes = 7'500;
    constexpr std::size_t requests = 400;
    auto padding = fmt::format("X-Padding: {0}\r\nX-Padding: {0}\r\nContent-Length: 0\r\n", std::string(paddingBytes, 'p'));
    return { requestHead("pipelined", true, 0, padding), nullptr, requests };
}

ClientScript unreadScript(bool isStream)
{
    constexpr std::size_t responseBytes = 250'000;
    constexpr std::size_t eventBytes = 8'000;
    constexpr std::size_t requests = 20;
    return { requestHead("unread", isStream, isStream ? eventBytes : responseBytes, "Content-Length: 0\r\n"), nullptr, requests };
}

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
    WARN(fmt::format("peak resident memory {} bytes, open descriptors {}", peak, descriptors));
    CHECK(gateway.isAlive());
    CHECK(peak <= loweredLimits.memoryMegabytes * bytesPerMegabyte);
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

TEST_CASE("A single request of the largest size is served with 88 MB")
{
    constexpr GatewayLimits smallestNode { 88, 4096 };
    GatewayProcess gateway(smallestNode);
    CHECK(isOrdinaryRequestServed(gateway.ip(), largestBody, callerPatience));
    WARN(fmt::format("peak resident memory {} bytes", gateway.peakResidentBytes()));
    CHECK(gateway.peakResidentBytes() <= smallestNode.memoryMegabytes * bytesPerMegabyte);
}
