#include <LibCore/SeededRandom.h>
#include <LibGateway/RetrySlots.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace Lovageward;

TEST_CASE("Callers that are rejected together return one after another, from the time at which room is predicted")
{
    SeededRandom random(1);
    RetrySlots slots;
    auto now = TimePoint(seconds(5));
    std::vector<Duration> delays;
    delays.reserve(100);
    for (int caller = 0; caller < 20; ++caller) {
        delays.push_back(slots.assign(now, now + seconds(1), milliseconds(100), now + seconds(30), random));
    }
    CHECK(*std::min_element(delays.begin(), delays.end()) >= seconds(1));
    // Room becomes free ten times per second, so no more than two callers may share a tenth of a second.
    for (auto from = seconds(1) + Duration(0); from < seconds(4); from += milliseconds(100)) {
        CHECK(std::count_if(delays.begin(), delays.end(), [&](Duration delay) { return delay >= from && delay < from + milliseconds(100); }) <= 2);
    }
}

TEST_CASE("A retry time is never more than a third of the time that the caller has left, however many are rejected")
{
    SeededRandom random(1);
    RetrySlots slots;
    auto now = TimePoint(seconds(5));
    std::vector<Duration> delays;
    delays.reserve(100);
    for (int caller = 0; caller < 100; ++caller) {
        auto delay = slots.assign(now, now + seconds(20), Duration(0), now + seconds(6), random);
        CHECK(delay > Duration(0));
        CHECK(delay <= seconds(2));
        delays.push_back(delay);
    }
    auto [earliest, latest] = std::minmax_element(delays.begin(), delays.end());
    CHECK(*latest - *earliest >= milliseconds(500));
    CHECK(slots.assign(now, now, Duration(0), now, random) > Duration(0));
}
