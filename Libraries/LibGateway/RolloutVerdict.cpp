#include <LibGateway/RolloutVerdict.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

struct TestTraits
{
    const char *name;
    /** Lowest p0. A rate of zero in few responses doesn't show that the versions never fail. */
    double lowestRate;
    double threshold;
};

constexpr std::size_t failureTest = 0;
constexpr std::array<TestTraits, 3> tests {
    TestTraits { "failures", 0.005, 13.8 },
    TestTraits { "slow responses", 0.05, 18.4 },
    TestTraits { "slow streams", 0.05, 18.4 },
};

constexpr double highestRate = 0.9;

/**
 * Times in which responses of the other versions lose half of their weight in p0, which is the higher one of two estimates: a steady one, and one that
 * follows the begin of a burst. With the steady one alone each burst rejected a sound version.
 */
constexpr Duration steadyHalfLife = seconds(6);
constexpr Duration burstHalfLife = milliseconds(500);

/** Routes with a smaller part of the pool's responses are judged with the others only, because they may not get enough exposed requests. */
constexpr double noticeableShare = 0.02;

/** The responses that `counts` adds to `known`. */
VerdictSample sampleOf(std::size_t test, const RolloutCounts &counts, const RolloutCounts &known)
{
    auto difference = [](std::uint64_t now, std::uint64_t before) { return static_cast<double>(now - std::min(now, before)); };
    VerdictSample sample;
    if (test == failureTest) {
        sample = VerdictSample { difference(counts.responses, known.responses), difference(counts.failures, known.failures) };
    } else if (test == 1) {
        sample = VerdictSample { difference(counts.starts, known.starts), difference(counts.slowStarts, known.slowStarts) };
    } else {
        sample = VerdictSample { difference(counts.paces, known.paces), difference(counts.slowPaces, known.slowPaces) };
    }
    // Sums of different relays can arrive with totals that are a digest older than the bad ones.
    sample.bad = std::min(sample.bad, sample.total);
    return sample;
}

/** Adds the sample to decaying counts and returns their rate, with half a bad response added because few responses say little about the rate. */
double updateRate(VerdictSample &counts, const VerdictSample &sample, double factor)
{
    counts.total = counts.total * factor + sample.total;
    counts.bad = counts.bad * factor + sample.bad;
    return (counts.bad + 0.5) / (counts.total + 1);
}

/** Logarithm of the likelihood ratio of the sample between the rates p1 and p0. */
double logLikelihoodRatio(std::size_t test, const VerdictSample &sample, double baselineRate)
{
    auto badRate = test == failureTest ? 2 * baselineRate + 0.05 : baselineRate + 0.4 * (1 - baselineRate);
    badRate = std::min(badRate, (1 + highestRate) / 2);
    return sample.bad * std::log(badRate / baselineRate) + (sample.total - sample.bad) * std::log((1 - badRate) / (1 - baselineRate));
}

}

void RolloutVerdict::judge(std::size_t test, double &score, double increment, std::uint64_t route)
{
    score = std::max(0.0, score + increment);
    if (score >= tests[test].threshold && !this->reason) {
        this->reason = route == 0 ? fmt::format("{} on all routes", tests[test].name) : fmt::format("{} on the route {:x}", tests[test].name, route);
    }
}

void RolloutVerdict::update(const RolloutTotals &totals, bool judgesLatency, TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(now - this->updatedAt);
    auto isFirst = this->updatedAt == TimePoint();
    auto steadyFactor = isFirst ? 1.0 : std::exp2(-elapsed / std::chrono::duration<double>(steadyHalfLife));
    auto burstFactor = isFirst ? 1.0 : std::exp2(-elapsed / std::chrono::duration<double>(burstHalfLife));
    this->updatedAt = now;
    std::array<double, testCount> increments {};
    for (const auto &[route, counts] : totals) {
        auto &state = this->routes[route];
        for (std::size_t test = 0; test < testCount; ++test) {
            auto baseline = sampleOf(test, counts.baseline, state.known.baseline);
            auto steadyRate = updateRate(state.steady[test], baseline, steadyFactor);
            auto burstRate = updateRate(state.burst[test], baseline, burstFactor);
            auto sample = sampleOf(test, counts.target, state.known.target);
            if (sample.total <= 0 || (test != failureTest && !judgesLatency)) {
                continue;
            }
            auto rate = std::clamp(std::max(steadyRate, burstRate), tests[test].lowestRate, highestRate);
            auto increment = logLikelihoodRatio(test, sample, rate);
            increments[test] += increment;
            this->judge(test, state.scores[test], increment, route);
        }
        state.known.target.raiseTo(counts.target);
        state.known.baseline.raiseTo(counts.baseline);
    }
    for (std::size_t test = 0; test < testCount; ++test) {
        this->judge(test, this->scores[test], increments[test], 0);
    }
}

bool RolloutVerdict::isUnsuspected() const
{
    auto isLow = [](const std::array<double, testCount> &scores) {
        return scores[0] < tests[0].threshold / 2 && scores[1] < tests[1].threshold / 2 && scores[2] < tests[2].threshold / 2;
    };
    return !this->reason && isLow(this->scores)
        && std::all_of(this->routes.begin(), this->routes.end(), [&](const auto &route) { return isLow(route.second.scores); });
}

bool RolloutVerdict::isSufficient(const RolloutTotals &totals, std::uint64_t perRoute, std::uint64_t total)
{
    double baseline = 0;
    std::uint64_t target = 0;
    for (const auto &[route, counts] : totals) {
        baseline += static_cast<double>(counts.baseline.responses);
        target += counts.target.responses;
    }
    return target >= total && std::all_of(totals.begin(), totals.end(), [&](const auto &route) {
               return route.second.target.responses >= perRoute || static_cast<double>(route.second.baseline.responses) < noticeableShare * baseline;
           });
}

}
