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

}

double estimateEngineCost(const EngineState &engine, const Footprint &run)
{
    auto tokenTime = toSeconds(engine.tokenTime);
    auto prefillTimePerToken = tokenTime * prefillTimeRatio;
    auto concurrentRuns = static_cast<double>(engine.load.decodingRuns);
    auto timeToFirstEvent = (engine.load.pendingPrefillTokens + run.promptTokens) * prefillTimePerToken;
    auto firstEventSlowness = engine.speed.factorOver(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(timeToFirstEvent)));
    timeToFirstEvent *= firstEventSlowness;
    auto outputTime = run.expectedOutputTokens * tokenTime * (1 + slowdownPerRun * concurrentRuns);
    auto delayOfConcurrentRuns = concurrentRuns * run.promptTokens * prefillTimePerToken * prefillDelayShare;
    outputTime *= engine.speed.factorOver(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(outputTime)));
    return firstEventWeight * timeToFirstEvent + outputTime + delayOfConcurrentRuns + fullEngineCostSeconds * engine.utilization * engine.utilization;
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
