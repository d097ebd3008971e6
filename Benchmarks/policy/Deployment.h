#pragma once

#include <LibConfig/Entities.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Simulated time or duration in microseconds. Times count from the start of the run. */
using Micros = std::int64_t;
constexpr Micros oneSecond = 1'000'000;

/** A class of requests with its distribution of lengths. */
struct ClassProfile
{
    std::string name;
    PoolId pool;
    /** Share of the requests of its pool. */
    double share = 1;
    /** Output lengths in tokens are lognormal with this median and sigma, clamped to between 4 and `maximumLength`. */
    double medianLength = 100;
    double sigma = 1;
    double maximumLength = 20000;
    double medianPrompt = 500;
    TargetKind target = TargetKind::Completion;
    Micros targetTime = 0;
    /** Time without a first token after which the caller cancels the request. Applies in the queue and on the engine. */
    Micros firstTokenTimeout = 0;
    /** Requests with a higher priority run first, in the queues and on the engines. */
    int priority = 0;
};

/** Speed and size of an engine. */
struct EngineProfile
{
    PoolId pool;
    /** Blocks of KV memory; zero for services, which report no memory. */
    std::uint32_t blocks = 12000;
    std::uint32_t tokensPerBlock = 16;
    std::uint32_t maximumBatchSize = 160;
    /** Maximum number of prompt tokens computed in one step. */
    std::uint32_t prefillChunk = 512;
    double stepBaseMicros = 8000;
    double stepPerSequenceMicros = 100;
    double stepPerBlockMicros = 0.25;
    double stepPerPrefillTokenMicros = 25;
    std::uint32_t coldLimit = 4;
    Micros coldTime = 20 * oneSecond;
    /** Factor by which steps take longer while the engine is cold. */
    double coldSlowdown = 2;
    /** Number of prompt prefixes that the prefix cache holds. */
    std::uint32_t cachedPrefixes = 24;
};

/** An engine of a deployment and its location. */
struct EngineInstance
{
    std::string name;
    RegionId region;
    FailureDomainId failureDomain;
    EngineProfile profile;
};

/** One of the two deployments of docs/design.md, section 1.4. */
struct Deployment
{
    std::string name;
    std::vector<ClassProfile> classes;
    std::vector<EngineInstance> engines;
    /** Region of each node. */
    std::vector<RegionId> nodes;
    /** Share of each team in the requests. */
    std::vector<double> teamShares;
    /** Requests per second to the services. */
    double serviceRate = 10;
    /** Pool of the engines under load, to which the measures refer. */
    PoolId enginePool;
    FailureDomainId drainedDomain;
};

Deployment kavach();
Deployment evcilKare();

}
