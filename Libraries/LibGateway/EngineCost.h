#pragma once

#include <LibGateway/LoadTracker.h>
#include <LibGateway/UpstreamSpeedTracker.h>

namespace Lovageward {

/** State of an engine that the cost of a new run depends on. */
struct EngineState
{
    UpstreamLoad load;
    /** Time per output token while the engine is not prefilling a prompt. */
    Duration tokenTime = Duration(0);
    /** Expected share of KV cache or slots in use when the new run ends, whichever is larger. */
    double utilization = 0;
    UpstreamSpeed speed = {};
};

/**
 * Estimates the cost of a run at an engine, in seconds of callers' waiting time: the time to the first event, the time to generate the output, the
 * delay that its prefill causes for the runs on the same engine, and the risk of filling the engine. Load pattern: long outputs mixed with short
 * outputs after long prompts, on engines of unequal speed. Long outputs go to fast engines, long prompts to engines with few running generations,
 * and no engine is filled up while others have room.
 */
double estimateEngineCost(const EngineState &engine, const Footprint &run);

/** Predicted times of a run from its start at an engine. */
struct RunForecast
{
    Duration firstEvent = Duration(0);
    Duration completion = Duration(0);
};

/** Predicts the times of a run from the prompts pending at the engine and from its concurrent runs. */
RunForecast forecastRun(const EngineState &engine, const Footprint &run);

/** Time per output token that is assumed for an engine without measurements: the mean of the known engines, or a default if none is known. */
class FallbackTokenTime
{
public:
    /** Adds a known engine. Zero stands for an unknown time and is ignored. */
    void addSample(Duration tokenTime);

    Duration tokenTime() const;

private:
    Duration total = Duration(0);
    int count = 0;
};

}
