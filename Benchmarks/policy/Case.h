#pragma once

#include <policy/Deployment.h>

#include <memory>
#include <string>
#include <vector>

#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibPolicy/UpstreamChooser.h>
#include <LibPolicy/UpstreamTable.h>

namespace Lovageward::Bench {

enum class Disturbance {
    Calm,
    DomainDrained,
    EngineKilled,
    EngineCold,
    ReportsLate,
    TeamBurst,
    /** Reference for DomainDrained: the same load without the engines of the domain. */
    DomainMissing,
};

const char *nameOf(Disturbance disturbance);

/** All disturbances that are compared, without the reference DomainMissing. */
std::vector<Disturbance> allDisturbances();

/** Times at which the phases of a run start or end. */
struct Timetable
{
    /** End of the warm-up, in which the policies learn and the engines fill up. Nothing before it is measured. */
    Micros measureFrom = 200 * oneSecond;
    Micros disturbAt = 260 * oneSecond;
    Micros restoreAt = 400 * oneSecond;
    /** End of the measurement of gaps, stalls and preemptions, and of the arrival of measured requests. */
    Micros measureTo = 560 * oneSecond;
    Micros end = 965 * oneSecond;
};

struct Case
{
    const Deployment *deployment = nullptr;
    Disturbance disturbance = Disturbance::Calm;
    /** Arrival rate as a share of the capacity of the engines. */
    double load = 1;
    std::uint64_t seed = 1;
    Timetable timetable = {};
};

/** Names of all policies, baselines first. */
std::vector<std::string> allPolicies();
bool isBaseline(const std::string &policy);

/** The policy under test. */
inline const std::string ownPolicy = "forecast";

struct ChooserParameters
{
    const Clock &clock;
    RandomSource &random;
    const UpstreamTable &table;
    RegionId region;
    std::size_t nodeCount = 1;
    double tokensPerBlock = 16;
};

std::unique_ptr<UpstreamChooser> makeChooser(const std::string &policy, const ChooserParameters &parameters);

}
