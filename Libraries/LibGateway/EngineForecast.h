#pragma once

#include <LibGateway/EngineCost.h>
#include <LibGateway/UpstreamPicker.h>

#include <optional>
#include <vector>

namespace Lovageward {

/** A more urgent request that must find room at an engine, and receive its first event in time, after the run that is about to be placed there. */
struct FollowingRequest
{
    Footprint footprint;
    /** Longest time from its start to its first event. */
    Duration firstEventLimit = Duration(0);
};

/** The shortest times at any of the engines, whether or not they have room. Absent without candidates, and for plain services. */
std::optional<RunForecast> forecastBestRun(const std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &run);

/**
 * Removes the engines at which the following request would have no room or be late if `run` was placed there first. Engines with room
 * where hardly any prompt is pending stay: waiting would not make them better. Load pattern: a burst of long prompts beside short urgent ones in the same
 * engines, which process prompts one after another.
 */
void removeEnginesThatDelay(const FollowingRequest &following, std::vector<Candidate> &candidates, const UpstreamPool &pool, const Footprint &run);

}
