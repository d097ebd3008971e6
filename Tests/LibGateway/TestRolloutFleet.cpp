#include "RolloutFleet.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

Behaviour sound(const Situation &situation)
{
    return { situation.draw < 0.002, 1 };
}

struct BadVersion
{
    const char *name;
    VersionModel model;
};

const std::vector<BadVersion> badVersions {
    { "fails from the start",
      [](const Situation &situation) {
          return Behaviour { situation.draw < 0.3, 1 };
      } },
    { "fails a tenth",
      [](const Situation &situation) {
          return Behaviour { situation.draw < 0.1, 1 };
      } },
    { "fails from the 15th second on",
      [](const Situation &situation) {
          return Behaviour { situation.sinceOrder > seconds(15) && situation.draw < 0.3, 1 };
      } },
    { "fails with more than one request at a time",
      [](const Situation &situation) {
          return Behaviour { situation.running > 1 && situation.draw < 0.8, 1 };
      } },
    { "fails on one route",
      [](const Situation &situation) {
          return Behaviour { situation.route.value() == "rare" && situation.draw < 0.5, 1 };
      } },
    { "is four times slower",
      [](const Situation & /*situation*/) {
          return Behaviour { false, 4 };
      } },
    { "is ten times slower",
      [](const Situation & /*situation*/) {
          return Behaviour { false, 10 };
      } },
    { "is five times slower from the 15th second on",
      [](const Situation &situation) {
          return Behaviour { false, situation.sinceOrder > seconds(15) ? 5.0 : 1.0 };
      } },
};

void checkRollback(RolloutFleet &rollout)
{
    rollout.order("v2", 7);
    CHECK(rollout.runToEnd() == RolloutState::RolledBack);
    auto exposedAtEnd = rollout.exposed;
    rollout.run(seconds(5));
    CHECK(rollout.exposed == exposedAtEnd);
    CHECK(rollout.excessExposure() <= 0);
    CHECK(rollout.isRollbackInTime());
    CHECK(rollout.board.log.size() == 2);
}

}

// Guards against a bad version that is promoted, exposed beyond the bound, or still used later than 5 s after its 50th bad response.
TEST_CASE("Each kind of bad version is rolled back in time within the bounds, in a small and in a hierarchical fleet")
{
    for (auto nodes : { std::size_t(8), std::size_t(30) }) {
        for (const auto &version : badVersions) {
            INFO(version.name << ", " << nodes << " nodes");
            RolloutFleet rollout(nodes, 4, version.model);
            checkRollback(rollout);
        }
    }
}

// Guards against requests to a version for longer than 5 s after its 50th bad response, where evidence takes longer to travel than the responses to come.
TEST_CASE("Under many requests a version that turns bad late gets no requests later than specified")
{
    constexpr double requestsPerNodeAndSecond = 150;
    RolloutFleet rollout(
        30,
        4,
        [](const Situation &situation) {
            return Behaviour { situation.sinceOrder > seconds(12), 1 };
        },
        requestsPerNodeAndSecond);
    checkRollback(rollout);
    // The bound is tested only if the limit was reached.
    CHECK(rollout.limitReachedAt != TimePoint::max());
}

// Guards against reports that exceed the specified 5 KB/s of a node in each direction.
TEST_CASE("The traffic of a node stays within its limit during a roll-out")
{
    for (auto domains : { std::size_t(6), std::size_t(21) }) {
        RolloutFleet rollout(126, domains, sound, 2);
        rollout.order("v2", 7);
        rollout.run(seconds(4));
        rollout.fleet.resetTraffic();
        rollout.run(seconds(4));
        std::vector<double> rates;
        for (std::size_t node = 0; node < rollout.fleet.size(); ++node) {
            rates.push_back(rollout.fleet.trafficBytes(node) / 4);
        }
        std::sort(rates.begin(), rates.end());
        INFO(domains << " domains: median " << rates[rates.size() / 2] << " B/s, busiest " << rates.back() << " B/s");
        CHECK(rates[rates.size() / 2] <= 10'000);
        CHECK(rates.back() <= 50'000);
    }
}

// Guards against a good version that isn't completed in time, also if bursts slow all upstreams down, and against old runs at the completion.
TEST_CASE("A good version is completed before its time ends, also with bursts")
{
    for (auto nodes : { std::size_t(8), std::size_t(30) }) {
        INFO(nodes << " nodes");
        RolloutFleet rollout(nodes, 4, sound);
        rollout.order("v2", 7);
        for (int burst = 0; burst < 3; ++burst) {
            rollout.run(seconds(6));
            rollout.commonSlowness = 4;
            rollout.run(seconds(2));
            rollout.commonSlowness = 1;
        }
        CHECK(rollout.excessExposure() <= 0);
        CHECK(rollout.runToEnd() == RolloutState::Completed);
        rollout.run(seconds(2));
        auto requests = rollout.requests;
        auto exposed = rollout.exposed;
        rollout.run(seconds(2));
        CHECK(rollout.exposed - exposed == rollout.requests - requests);
        CHECK(rollout.board.log.front().state == RolloutState::Running);
    }
}

// Guards against requests to the version while the store can't hold the verdict, and against a verdict that is lost with the outage.
TEST_CASE("A verdict takes effect while the store is unavailable and is reported afterwards")
{
    RolloutFleet rollout(30, 4, [](const Situation &situation) { return Behaviour { situation.sinceOrder > seconds(10) && situation.draw < 0.5, 1 }; });
    rollout.order("v2", 7);
    rollout.run(seconds(8));
    rollout.board.isDown = true;
    rollout.run(seconds(12));
    auto exposed = rollout.exposed;
    rollout.run(seconds(3));
    CHECK(rollout.exposed == exposed);
    CHECK_FALSE(rollout.finalState());
    rollout.board.isDown = false;
    CHECK(rollout.runToEnd() == RolloutState::RolledBack);
    CHECK(rollout.isRollbackInTime());
    CHECK(rollout.excessExposure() <= 0);
}

// Guards against a report that is written twice, or a second final state, where the response of a write was lost.
TEST_CASE("A write whose response is lost isn't repeated with another state")
{
    RolloutFleet rollout(8, 4, sound);
    rollout.board.losesResponses = true;
    rollout.order("v2", 7);
    CHECK(rollout.runToEnd() == RolloutState::Completed);
    rollout.run(seconds(3));
    CHECK(rollout.board.log.size() == 2);
}

// Guards against a roll-out that ends with the node that decided it, at any step, and against restarted nodes that count its time anew.
TEST_CASE("Nodes that are killed and restarted at any step don't stop a roll-out")
{
    RolloutFleet rollout(30, 4, sound);
    rollout.order("v2", 7);
    for (std::size_t step = 0; step < 14; ++step) {
        rollout.run(seconds(2));
        // Two nodes are down at a time, relays among them.
        rollout.fleet.at((2 * step) % 30).isUp = false;
        rollout.fleet.at((2 * step + 1) % 30).isUp = false;
        if (step > 0) {
            rollout.restart((2 * step - 2) % 30);
            rollout.restart((2 * step - 1) % 30);
        }
    }
    CHECK(rollout.excessExposure() <= 0);
    CHECK(rollout.runToEnd() == RolloutState::Completed);

    RolloutFleet bad(30, 4, badVersions.front().model);
    bad.order("v2", 7);
    while (!bad.finalState() && bad.fleet.clock.now() < bad.orderedAt + seconds(30)) {
        bad.run(milliseconds(100));
        for (std::size_t node = 0; node < bad.fleet.size(); ++node) {
            auto &peer = bad.fleet.at(node);
            // The nodes that learn of the verdict first are killed before they can report it, as long as three quarters are left.
            if (node < 8 && peer.rollouts->phase(PoolId("services")) == RolloutPhase::RolledBack) {
                peer.isUp = false;
            }
        }
    }
    CHECK(bad.finalState() == RolloutState::RolledBack);
    CHECK(bad.excessExposure() <= 0);
    CHECK(bad.isRollbackInTime());
}

// Guards against a node that exposes requests without knowing whether the version was rolled back elsewhere.
TEST_CASE("A node sends nothing to the target version without the reports or without contact to its peers")
{
    RolloutFleet rollout(8, 4, sound);
    rollout.sync.areReportsRead = false;
    rollout.order("v2", 7);
    rollout.run(seconds(5));
    CHECK(rollout.exposed == 0);
    rollout.sync.areReportsRead = true;
    rollout.run(seconds(5));
    CHECK(rollout.exposed > 0);
    for (std::size_t node = 1; node < rollout.fleet.size(); ++node) {
        rollout.fleet.at(node).isUp = false;
    }
    rollout.run(seconds(4));
    auto exposed = rollout.exposed;
    rollout.run(seconds(4));
    CHECK(rollout.exposed == exposed);
}

// Guards against a version that stays in use after a newer order, and against an order without end.
// Guards against a version that was rolled back and gets requests again, because the restored store gives its order another offset.
TEST_CASE("An order that is written again after a restoration of the store doesn't start its roll-out again, but another order does")
{
    RolloutFleet rollout(8, 4, sound);
    rollout.order("v2", 7, milliseconds(200));
    rollout.run(seconds(3));
    REQUIRE(rollout.finalState() == RolloutState::RolledBack);
    rollout.order("v2", 5, seconds(40), StoreEra(1));
    rollout.run(seconds(5));
    CHECK(rollout.exposed == 0);
    // The version in use: completed at once.
    rollout.order("v1", 6, seconds(40), StoreEra(1));
    rollout.run(seconds(3));
    CHECK(rollout.finalState() == RolloutState::Completed);
}

TEST_CASE("A newer order supersedes a running one, and an order whose time has passed is rolled back")
{
    RolloutFleet rollout(8, 4, sound);
    rollout.order("v2", 7);
    rollout.run(seconds(10));
    CHECK(rollout.exposed > 0);
    // The version in use: completed at once, and the superseded one gets nothing any more.
    rollout.order("v1", 9);
    rollout.run(seconds(3));
    CHECK(rollout.finalState() == RolloutState::Completed);
    rollout.order("v2", 11, milliseconds(200));
    rollout.run(seconds(3));
    CHECK(rollout.finalState() == RolloutState::RolledBack);
    auto exposed = rollout.exposed;
    rollout.run(seconds(2));
    CHECK(rollout.exposed == exposed);
}
