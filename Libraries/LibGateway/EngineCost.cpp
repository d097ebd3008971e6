#include <LibGateway/EngineCost.h>

namespace Lovageward {

namespace {

/** Prefill time per prompt token, as a multiple of the time per output token: an engine prefills about 100 prompt tokens in the time of two output tokens. */
constexpr double prefillTimeRatio = 0.019;

/** Weight of the time to the first event. A late first event costs a caller more than the same delay spread over the output. */
constexpr double firstEventWeight = 3;

/** Share of the prefill time by which a prompt delays each concurrent run. The remaining time would have passed without the prompt, too. */
constexpr double prefillDelayShare = 0.5;

/** Relative increase of the time per output token for each concurrent run. */
constexpr double slowdownPerRun = 0.017;

/** Cost of filling an engine completely, in seconds. A full engine can't take in runs from other engines or outputs longer than estimated. */
constexpr double fullEngineCostSeconds = 5;

/** Time per output token of an engine under high load. */
constexpr Duration defaultTokenTime = milliseconds(10);

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/** Multiplies the time that work takes at the usual speed by the engine's current slowness. */
double withSlowness(const EngineState &engine, double seconds)
{
    return seconds * engine.speed.factorOver(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

/** Seconds until the engine has processed the prompts pending there and the one of the run. */
double secondsToFirstEvent(const EngineState &engine, const Footprint &run)
{
    return withSlowness(engine, (engine.load.pendingPrefillTokens + run.promptTokens) * (toSeconds(engine.tokenTime) * prefillTimeRatio));
}

double outputSeconds(const EngineState &engine, const Footprint &run)
{
    auto slowdown = 1 + slowdownPerRun * static_cast<double>(engine.load.decodingRuns);
    return withSlowness(engine, run.expectedOutputTokens * toSeconds(engine.tokenTime) * slowdown);
}

}

double estimateEngineCost(const EngineState &engine, const Footprint &run)
{
    auto prefillTimePerToken = toSeconds(engine.tokenTime) * prefillTimeRatio;
    auto concurrentRuns = static_cast<double>(engine.load.decodingRuns);
    auto timeToFirstEvent = secondsToFirstEvent(engine, run);
    auto outputTime = outputSeconds(engine, run);
    auto delayOfConcurrentRuns = concurrentRuns * run.promptTokens * prefillTimePerToken * prefillDelayShare;
    return firstEventWeight * timeToFirstEvent + outputTime + delayOfConcurrentRuns + fullEngineCostSeconds * engine.utilization * engine.utilization;
}

RunForecast forecastRun(const EngineState &engine, const Footprint &run)
{
    auto toDuration = [](double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); };
    auto firstEvent = secondsToFirstEvent(engine, run);
    return RunForecast { toDuration(firstEvent), toDuration(firstEvent + outputSeconds(engine, run)) };
}

void FallbackTokenTime::addSample(Duration tokenTime)
{
    if (tokenTime > Duration(0)) {
        this->total += tokenTime;
        ++this->count;
    }
}

Duration FallbackTokenTime::tokenTime() const
{
    return this->count > 0 ? this->total / this->count : defaultTokenTime;
}

}
