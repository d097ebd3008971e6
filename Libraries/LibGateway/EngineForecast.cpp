#include <LibGateway/EngineForecast.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** An engine whose first event comes at most this many times later than at an idle engine is accepted, because waiting would gain little. */
constexpr double idleTolerance = 1.25;

Duration fallbackTokenTime(const std::vector<Candidate> &candidates)
{
    FallbackTokenTime fallback;
    for (const auto &candidate : candidates) {
        fallback.addSample(candidate.tokenTime);
    }
    return fallback.tokenTime();
}

EngineState engineState(const Candidate &candidate, Duration fallback)
{
    return EngineState { candidate.load, candidate.tokenTime > Duration(0) ? candidate.tokenTime : fallback, 0 };
}

bool admitsFollowing(const Candidate &candidate, Duration fallback, const UpstreamPool &pool, const Footprint &run, const FollowingRequest &following)
{
    auto kvCacheTokens = static_cast<double>(pool.engine->kvCacheTokens.value());
    auto hasRoom = candidate.load.peakTokens + run.peakTokens(0) + following.footprint.peakTokens(0) <= kvCacheTokens;
    auto state = engineState(candidate, fallback);
    state.load.pendingPrefillTokens += run.promptTokens;
    auto firstEvent = forecastRun(state, following.footprint).firstEvent;
    state.load.pendingPrefillTokens = run.promptTokens;
    auto firstEventWhenIdle = forecastRun(state, following.footprint).firstEvent;
    auto limit = std::max(following.firstEventLimit, std::chrono::duration_cast<Duration>(idleTolerance * firstEventWhenIdle));
    return hasRoom && firstEvent <= limit;
}

}

std::optional<RunForecast> forecastBestRun(const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &run)
{
    std::optional<RunForecast> best;
    if (!pool.engine) {
        return best;
    }
    auto fallback = fallbackTokenTime(candidates);
    for (const auto &candidate : candidates) {
        auto forecast = forecastRun(engineState(candidate, fallback), run);
        if (!best || forecast.firstEvent < best->firstEvent) {
            best = forecast;
        }
    }
    return best;
}

void removeEnginesThatDelay(const FollowingRequest &following, std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &run)
{
    if (!pool.engine) {
        return;
    }
    auto fallback = fallbackTokenTime(candidates);
    std::erase_if(candidates, [&](const Candidate &candidate) { return !admitsFollowing(candidate, fallback, pool, run, following); });
}

}
