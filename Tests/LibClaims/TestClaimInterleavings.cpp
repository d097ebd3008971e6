#include "ClaimWorld.h"

#include <Support/Seeds.h>

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace Lovageward;

namespace {

struct Scenario
{
    const char *name;
    ClaimWorldSettings settings;
};

std::vector<Scenario> scenarios()
{
    FaultRates none;
    FaultRates log { 10, 10, 10, 10, 5 };
    FaultRates heavy { 20, 20, 15, 20, 10 };
    return {
        { "no faults", { 1, 3, none, 0, false, false, false, false, false } },
        { "log answers lost, appends late and twice", { 1, 3, heavy, 0, false, false, false, false, false } },
        { "messages lost, late and twice", { 1, 4, none, 20, false, false, false, false, false } },
        { "paused nodes and moving ownership", { 1, 5, none, 5, false, true, false, true, false } },
        { "restarts and outages", { 1, 4, log, 5, true, false, true, false, false } },
        { "everything", { 1, 8, log, 10, true, true, true, true, false } },
        { "everything and expired records", { 1, 5, log, 10, true, true, true, true, true } },
    };
}

bool isSet(const char *variable)
{
    return std::getenv(variable) != nullptr; // NOLINT(concurrency-mt-unsafe)
}

void printTrace(ClaimWorld &world)
{
    for (const auto &line : world.logLines()) {
        fmt::print(stderr, "{}\n", line);
    }
    for (const auto &line : world.trace) {
        fmt::print(stderr, "{}\n", line);
    }
}

}

TEST_CASE("No interleaving of faults runs a call twice or makes a not_run untrue", "[claims][random]")
{
    auto seeds = seedCount(60);
    std::map<std::string, int> totals;
    for (const auto &scenario : scenarios()) {
        for (auto seed = firstSeed(); seed < firstSeed() + seeds; ++seed) {
            auto settings = scenario.settings;
            settings.seed = seed;
            ClaimWorld world(settings);
            world.run();
            for (const auto &[name, count] : world.outcomes) {
                totals[fmt::format("{}: {}", scenario.name, name)] += count;
            }
            if (!world.violations.empty() || isSet("LOVAGEWARD_SHOW_TRACE")) {
                fmt::print(stderr, "scenario '{}', seed {}:\n", scenario.name, seed);
                printTrace(world);
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
    CHECK(totals["everything: ran"] > 0);
    CHECK(totals["everything: replayed"] > 0);
    CHECK(totals["everything: CallOutcomeUnknown/unknown"] > 0);
}
