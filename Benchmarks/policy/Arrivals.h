#pragma once

#include <policy/Deployment.h>

#include <cstdint>
#include <vector>

namespace Lovageward::Bench {

/** Arrival of a request. All policies of a case and seed get the same arrivals. */
struct Arrival
{
    Micros at = 0;
    std::uint32_t node = 0;
    std::uint32_t team = 0;
    std::uint32_t workClass = 0;
    std::uint32_t promptTokens = 0;
    /** Tokens that the answer will have. Hidden from the choosers. */
    std::uint32_t outputTokens = 0;
    std::uint64_t prefixId = 0;
    std::uint32_t prefixTokens = 0;
};

/** Interval in which a team sends `factor` times its usual rate. */
struct TeamBurst
{
    std::uint32_t team = 0;
    double factor = 1;
    Micros from = 0;
    Micros to = 0;
};

/** Requests per second that the engines complete while their memory is full and no request is preempted. */
double computeCapacity(const Deployment &deployment);

/** Creates Poisson arrivals, sorted by time. `rate` applies to the engine pool and is in requests per second. */
std::vector<Arrival> makeArrivals(const Deployment &deployment, double rate, Micros end, const TeamBurst &burst, std::uint64_t seed);

}
