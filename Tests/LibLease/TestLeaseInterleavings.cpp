#include "LeaseWorld.h"

#include <Support/Seeds.h>

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace Lovageward;

namespace {

struct Scenario
{
    const char *name;
    LeaseWorldSettings settings;
};

std::vector<Scenario> scenarios()
{
    FaultRates none;
    FaultRates log { 10, 10, 10, 10, 5 };
    return {
        { "no faults", { 1, 3, none, 0, false, false, false } },
        { "log answers lost, appends late and twice", { 1, 3, { 20, 20, 15, 20, 10 }, 0, false, false, false } },
        { "paused holders", { 1, 4, none, 0, true, false, false } },
        { "orders lost and late", { 1, 3, none, 30, false, false, false } },
        { "everything", { 1, 5, log, 15, true, true, true } },
    };
}

bool isSet(const char *variable)
{
    return std::getenv(variable) != nullptr; // NOLINT(concurrency-mt-unsafe)
}

}

TEST_CASE("No interleaving of faults makes two holders of a lease or mixes their orders", "[lease][random]")
{
    auto seeds = seedCount(40);
    std::map<std::string, int> totals;
    for (const auto &scenario : scenarios()) {
        for (auto seed = firstSeed(); seed < firstSeed() + seeds; ++seed) {
            auto settings = scenario.settings;
            settings.seed = seed;
            LeaseWorld world(settings);
            world.run();
            for (const auto &[name, count] : world.outcomes) {
                totals[fmt::format("{}: {}", scenario.name, name)] += count;
            }
            if (!world.violations.empty() || isSet("LOVAGEWARD_SHOW_TRACE")) {
                fmt::print(stderr, "scenario '{}', seed {}:\n{}\n", scenario.name, seed, fmt::join(world.trace, "\n"));
            }
            INFO("scenario '" << scenario.name << "', LOVAGEWARD_FIRST_SEED=" << seed);
            CAPTURE(world.violations);
            REQUIRE(world.violations.empty());
        }
    }
    if (isSet("LOVAGEWARD_SHOW_OUTCOMES")) {
        for (const auto &[name, count] : totals) {
            fmt::print("{:>7} {}\n", count, name);
        }
    }
    // Guards against a run that passes because nothing happened.
    CHECK(totals["everything: held"] > 0);
    CHECK(totals["everything: accepted"] > 0);
    CHECK(totals["no faults: order state 2"] > 0);
}
