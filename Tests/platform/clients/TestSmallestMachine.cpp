#include "Crowd.h"
#include "GatewayProcess.h"
#include "Scripts.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <thread>

using namespace Lovageward::Clients;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a gateway that exceeds its memory at the settings of the smallest machine of the platform, where more connections are served than with the
// lowered limits of the other cases, and against a limit that applies only there.

namespace {

constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr GatewayLimits smallestMachine { 88, 4096 };
constexpr auto noProgress = seconds(1);
constexpr auto patience = seconds(25);
constexpr auto sendingTime = seconds(4);

void checkSmallestMachine(const GatewayProcess &gateway, Crowd &crowd)
{
    auto sender = std::async(std::launch::async, [&] { crowd.send(milliseconds(1), noProgress, sendingTime); });
    std::this_thread::sleep_for(noProgress);
    CHECK(isOrdinaryRequestServed(gateway.ip(), 100, patience));
    sender.get();
    CHECK(isOrdinaryRequestServed(gateway.ip(), 100, patience));
    CHECK(isProbeAnswered(gateway.ip(), gatewayReadinessPort, "/ready", patience));
    WARN(fmt::format("peak memory {} bytes, unread bytes {}, open descriptors {}",
                     gateway.peakMemoryBytes(),
                     gateway.process().peakUnreadBytes(),
                     gateway.openDescriptors()));
    CHECK(gateway.isAlive());
    CHECK(gateway.peakMemoryBytes() <= smallestMachine.memoryMegabytes * bytesPerMegabyte);
    CHECK(gateway.openDescriptors() <= static_cast<std::size_t>(smallestMachine.descriptors));
}

}

TEST_CASE("Six hundred bodies a byte short stay within the memory of the smallest machine")
{
    GatewayProcess gateway(smallestMachine);
    Crowd crowd(gateway.ip());
    crowd.add(600, lengthScript(1), 6);
    checkSmallestMachine(gateway, crowd);
}

TEST_CASE("Requests of megabytes sent ahead on 64 connections stay within the memory of the smallest machine")
{
    GatewayProcess gateway(smallestMachine);
    Crowd crowd(gateway.ip());
    crowd.add(64, pipelinedScript());
    checkSmallestMachine(gateway, crowd);
}

TEST_CASE("All places of the smallest machine taken by unfinished requests leave room for an ordinary caller")
{
    GatewayProcess gateway(smallestMachine);
    Crowd crowd(gateway.ip());
    crowd.add(200, endlessHeadScript());
    crowd.add(200, lengthScript(0, 1));
    crowd.add(200, lengthScript(1));
    crowd.add(200, ClientScript());
    checkSmallestMachine(gateway, crowd);
}
