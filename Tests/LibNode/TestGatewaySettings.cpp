#include <LibCore/Error.h>
#include <LibNode/GatewaySettings.h>

#include <catch2/catch.hpp>

#include <cstring>

using namespace Lovageward;

namespace {

const EnvironmentLookup noEnvironment = [](const std::string & /*name*/) { return nullptr; };

}

TEST_CASE("Flags override the environment, which overrides the settings file")
{
    auto environment = [](const std::string &name) -> const char * { return name == "LOVAGEWARD_STORE" ? "10.0.0.3:1" : nullptr; };
    const std::string file = "# comment\n\n"
                             "host = front-1\n"
                             "store = 10.0.0.1:1\n"
                             "grace-seconds = 9\n"
                             "unknown = ignored\n"
                             "domains = a1:a, b1:b\n"
                             "failure-domain = a1\n"
                             "seeds = 10.0.0.7:8748,10.0.0.8:8748\n"
                             "peer-listen = 10.0.0.9:7200\n"
                             "retry-slack = 52.5\n";
    auto settings = readGatewaySettings(file, { "--grace-seconds=5" }, environment);
    CHECK(settings.host == HostId("front-1"));
    CHECK(settings.storeAddress == "10.0.0.3:1");
    CHECK(settings.gracePeriod == seconds(5));
    CHECK(settings.location.regionOf(FailureDomainId("b1")) == RegionId("b"));
    CHECK(settings.location.regionOf(FailureDomainId("c1")).isEmpty());
    CHECK(settings.seedAddresses == std::vector<std::string> { "10.0.0.7:7200", "10.0.0.8:7200" });
    CHECK(settings.retryBudgetLimits.slack == Approx(52.5));
}

// Guards against roll-outs that begin without all bounds, and against empty placeholders that keep a node from starting.
TEST_CASE("Roll-outs are enabled only if all of their settings are given")
{
    auto limits = readGatewaySettings("rollout-share = 0.1\nrollout-slack = 50\nrollout-rollback-ms = 5000\n", {}, noEnvironment).rolloutLimits;
    REQUIRE(limits);
    CHECK(limits->share == Approx(0.1));
    CHECK(limits->slack == Approx(50));
    CHECK(limits->rollbackTime == milliseconds(5000));
    for (const auto *file : { "", "rollout-share = \nrollout-slack = \nrollout-rollback-ms = \n", "rollout-share = 0.1\nrollout-slack = 50\n" }) {
        CHECK_FALSE(readGatewaySettings(file, {}, noEnvironment).rolloutLimits);
    }
    CHECK_THROWS_AS(readGatewaySettings("rollout-share = 2\n", {}, noEnvironment), Error);
}

TEST_CASE("All invalid settings are listed in one error")
{
    std::string problems;
    try {
        readGatewaySettings("store = nowhere\ndomains = a1\nretry-ratio = -1\nseeds = x\n", {}, noEnvironment);
    } catch (const Error &error) {
        CHECK(error.code() == ResultCode::InvalidSettings);
        problems = error.what();
    }
    for (const auto *name : { "--store", "--domains", "--retry-ratio", "--seeds" }) {
        CAPTURE(name);
        CHECK(problems.find(name) != std::string::npos);
    }
    CHECK_THROWS_AS(readGatewaySettings("no separator", {}, noEnvironment), Error);
}

TEST_CASE("The maximum number of connections follows from the memory and descriptor limits")
{
    auto small = readGatewaySettings("memory-megabytes = 88\ndescriptors = 4100\n", {}, noEnvironment);
    auto large = readGatewaySettings("memory-megabytes = 512\ndescriptors = 8192\n", {}, noEnvironment);
    CHECK(small.maximumConnections < large.maximumConnections);
    CHECK(large.maximumConnections <= 8192 / 3);
}

TEST_CASE("The wait order is absent unless it is given, and other names are rejected")
{
    CHECK_FALSE(readGatewaySettings("", {}, noEnvironment).waitOrder.has_value());
    CHECK(readGatewaySettings("wait-order = arrival\n", {}, noEnvironment).waitOrder == WaitOrder::Arrival);
    CHECK(readGatewaySettings("wait-order = deadline\n", {}, noEnvironment).waitOrder == WaitOrder::Deadline);
    CHECK_THROWS_AS(readGatewaySettings("wait-order = random\n", {}, noEnvironment), Error);
}
