#include <LibGateway/RolloutExposure.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

constexpr RolloutLimits limits { 0.1, 50, milliseconds(5000) };

}

// Guards against nodes whose budgets together exceed the bound, however many there are and however many requests each gets.
TEST_CASE("The exposed requests of all nodes stay within the share and the slack")
{
    for (std::size_t nodes : { 1, 6, 126, 340 }) {
        for (int requestsPerNode : { 0, 3, 200 }) {
            std::uint64_t taken = 0;
            for (std::size_t node = 0; node < nodes; ++node) {
                RolloutExposure exposure(limits, nodes, TimePoint());
                for (int second = 0; second < 60; ++second) {
                    // More attempts than requests, as if each waited for capacity and tried again.
                    for (int attempt = 0; attempt < 5; ++attempt) {
                        taken += exposure.tryTake(TimePoint(seconds(second)), false) ? 1 : 0;
                    }
                    for (int request = 0; second == 30 && request < requestsPerNode; ++request) {
                        exposure.addRequest(RolloutExposure::lastStage);
                        taken += exposure.tryTake(TimePoint(seconds(second)), false) ? 1 : 0;
                    }
                }
            }
            INFO(nodes << " nodes with " << requestsPerNode << " requests");
            CHECK(static_cast<double>(taken) <= limits.share * static_cast<double>(nodes) * requestsPerNode + limits.slack);
        }
    }
}

// Guards against a burst of exposed requests after a time without capacity, and against a reserve that is used up.
TEST_CASE("Unused budget lapses, and a reserve is kept for routes that lack responses")
{
    RolloutExposure exposure({ 0.1, 0, milliseconds(5000) }, 8, TimePoint());
    for (int request = 0; request < 1'000; ++request) {
        exposure.addRequest(RolloutExposure::lastStage);
    }
    CHECK(exposure.tryTake(TimePoint(), true));
    CHECK_FALSE(exposure.tryTake(TimePoint(), true));
    CHECK(exposure.tryTake(TimePoint(), false));
    CHECK_FALSE(exposure.tryTake(TimePoint(), false));
    exposure.giveBack();
    CHECK(exposure.tryTake(TimePoint(), false));
}
