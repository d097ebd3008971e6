#include <LibCore/SeededRandom.h>
#include <LibGateway/RolloutVerdict.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** Rates of a version, as fractions of its responses. */
struct Rates
{
    double failures = 0;
    double slow = 0;
};

/** Feeds the test with random responses, one digest interval at a time. */
struct VerdictFixture
{
    explicit VerdictFixture(std::uint64_t seed) : random(seed)
    {
    }

    void respond(RolloutCounts &counts, const Rates &rates)
    {
        ++counts.responses;
        counts.failures += this->random.unit() < rates.failures ? 1 : 0;
        ++counts.starts;
        counts.slowStarts += this->random.unit() < rates.slow ? 1 : 0;
    }

    /** Five responses of the target and 50 of the others on the route. Returns the target's responses so far. */
    std::uint64_t step(std::uint64_t route, const Rates &target, const Rates &baseline)
    {
        this->now += milliseconds(250);
        auto &counts = this->totals[route];
        for (int response = 0; response < 50; ++response) {
            this->respond(counts.baseline, baseline);
        }
        for (int response = 0; response < 5; ++response) {
            this->respond(counts.target, target);
        }
        this->verdict.update(this->totals, true, this->now);
        return counts.target.responses;
    }

    SeededRandom random;
    TimePoint now { seconds(100) };
    RolloutTotals totals;
    RolloutVerdict verdict;
};

constexpr Rates sound { 0.002, 0.1 };

/** Responses of the target until it is rejected. */
std::uint64_t responsesUntilRejection(std::uint64_t seed, std::uint64_t before, const Rates &target, const Rates &baseline)
{
    VerdictFixture fixture(seed);
    std::uint64_t count = 0;
    while (count < before) {
        count = fixture.step(1, baseline, baseline);
    }
    CHECK_FALSE(fixture.verdict.rejection());
    while (!fixture.verdict.rejection() && count < before + 2'000) {
        count = fixture.step(1, target, baseline);
    }
    return count - before;
}

}

// Guards against a rollback that comes after more than the 50 bad responses from which the time of the rollback is counted.
TEST_CASE("A bad version is rejected before its 50th bad response, also if it turns bad late")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        for (std::uint64_t before : { 0, 1000 }) {
            INFO("seed " << seed << ", responses before " << before);
            CHECK(0.10 * static_cast<double>(responsesUntilRejection(seed, before, { 0.10, 0.1 }, sound)) < 50);
            CHECK(0.5 * static_cast<double>(responsesUntilRejection(seed, before, { 0.5, 0.1 }, sound)) < 50);
            CHECK(responsesUntilRejection(seed, before, { 0.002, 1 }, sound) < 50);
            CHECK(responsesUntilRejection(seed, before, { 0.002, 1 }, { 0.002, 0.25 }) < 50);
            CHECK(0.6 * static_cast<double>(responsesUntilRejection(seed, before, { 0.002, 0.6 }, sound)) < 50);
        }
    }
}

// Guards against a sound version that is rolled back by chance: at most one of a hundred roll-outs with 5,000 exposed responses.
TEST_CASE("A sound version isn't rejected, also if both versions fail or are slow in a burst")
{
    int rejections = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        VerdictFixture fixture(seed);
        for (int step = 0; step < 1'000; ++step) {
            auto isBurst = step % 100 >= 80;
            auto rates = isBurst ? Rates { 0.05, 0.6 } : sound;
            fixture.step(1, rates, rates);
        }
        rejections += fixture.verdict.rejection() ? 1 : 0;
    }
    CHECK(rejections <= 1);
}

// Guards against a fault on one route that the sound responses on the others hide.
TEST_CASE("A version that is bad on one route only is rejected for it")
{
    VerdictFixture fixture(1);
    std::uint64_t count = 0;
    while (!fixture.verdict.rejection() && count < 500) {
        for (std::uint64_t route = 1; route < 6; ++route) {
            fixture.step(route, sound, sound);
        }
        count = fixture.step(9, { 0.3, 0.1 }, sound);
    }
    REQUIRE(fixture.verdict.rejection());
    CHECK(fixture.verdict.rejection()->find("failures") != std::string::npos);
    CHECK(0.3 * static_cast<double>(count) < 50);
}

// Guards against a promotion without responses on a route with traffic.
TEST_CASE("Evidence is sufficient only with responses on each route with noticeable traffic")
{
    RolloutTotals totals;
    totals[1].baseline.responses = 1000;
    totals[1].target.responses = 60;
    totals[2].baseline.responses = 300;
    totals[2].target.responses = 3;
    totals[3].baseline.responses = 10;
    CHECK_FALSE(RolloutVerdict::isSufficient(totals, 25, 60));
    totals[2].target.responses = 25;
    CHECK(RolloutVerdict::isSufficient(totals, 25, 60));
    CHECK_FALSE(RolloutVerdict::isSufficient(totals, 25, 100));
}
