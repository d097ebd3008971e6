#pragma once

#include <LibGateway/RolloutReport.h>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace Lovageward {

/** Responses that a test judges, and the bad ones among them. */
struct VerdictSample
{
    double total = 0;
    double bad = 0;
};

/**
 * Judges a version by its responses with sequential tests that compare it with the other versions' responses of the same seconds and route. There is a
 * test of the failures, of the slow responses and of the slow streams, for each route and for all routes together. Each is a cumulative sum test (Page):
 * Wald's test of the rate p1 against the rate p0 of the other versions, which begins anew whenever it favours p0, so that a fault that begins late is
 * found as fast as one from the start.
 *
 * Failures: p1 = 2 p0 + 0.05, threshold ln(10^6). On average a sound version is rejected by one test at most once in 10^6 responses. A version that
 * fails a tenth of its requests is rejected after about 80 responses and 8 failures if p0 is 0.005, one that fails half of them after about 15.
 * Slow responses and streams: p1 = p0 + 0.4 (1 - p0), threshold ln(10^8), because the responses of one slow upstream aren't independent. A version whose
 * responses are all slow is rejected after 9 responses if p0 is 0.05, and after 22 if p0 is 0.25; if p0 is over 0.6, it isn't found by its latency.
 * Load patterns: a version that is bad from the start, later, under load or on one route only; bursts and slow domains, in which all versions are slow.
 * Not thread-safe.
 */
class RolloutVerdict
{
public:
    /** Judges all counts, which include those of earlier calls. `judgesLatency` is false while the loads of the versions aren't comparable. */
    void update(const RolloutTotals &totals, bool judgesLatency, TimePoint now);

    /** Why the version is bad; nullopt while it isn't known to be. Once set, it stays. */
    const std::optional<std::string> &rejection() const
    {
        return this->reason;
    }

    /** True if no test has half of the evidence that it needs to reject the version. */
    bool isUnsuspected() const;

    /** Whether the target version has had `perRoute` responses on each route with a noticeable part of the traffic, and `total` in all. */
    static bool isSufficient(const RolloutTotals &totals, std::uint64_t perRoute, std::uint64_t total);

private:
    static constexpr std::size_t testCount = 3;

    struct RouteState
    {
        RouteCounts known;
        /** Decaying counts of the other versions, from which p0 is estimated. */
        std::array<VerdictSample, testCount> steady {};
        std::array<VerdictSample, testCount> burst {};
        std::array<double, testCount> scores {};
    };

    void judge(std::size_t test, double &score, double increment, std::uint64_t route);

    std::map<std::uint64_t, RouteState> routes;
    std::array<double, testCount> scores {};
    TimePoint updatedAt;
    std::optional<std::string> reason;
};

}
