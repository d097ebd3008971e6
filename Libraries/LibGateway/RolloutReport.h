#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RolloutRecords.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Lovageward {

/** Progress of a roll-out. Nodes that learn of different phases keep the greatest one, unless the store has a final report. */
enum class RolloutPhase : std::uint8_t {
    /** Each node sends a small share of the pool's requests to the target version. */
    Exposing = 0,
    /** New work goes to the target version, and runs on other versions are migrated. */
    Promoting = 1,
    Completed = 2,
    RolledBack = 3,
};

/** Responses of the upstreams of one version. All counts only grow. */
struct RolloutCounts
{
    std::uint64_t responses = 0;
    /** Failed responses: server errors, broken or malformed ones, and requests that got none. */
    std::uint64_t failures = 0;
    /** Responses whose time to the response or to the first event was compared with the usual one, and those that were slow. */
    std::uint64_t starts = 0;
    std::uint64_t slowStarts = 0;
    /** Streams whose time per event was compared with the usual one, and those that were slow. */
    std::uint64_t paces = 0;
    std::uint64_t slowPaces = 0;

    bool operator==(const RolloutCounts &) const = default;
    RolloutCounts &operator+=(const RolloutCounts &other);
    /** Replaces each count by the greater one. */
    void raiseTo(const RolloutCounts &other);
};

/** Responses on one route. */
struct RouteCounts
{
    RolloutCounts target;
    /** Upstreams of the other versions in use. */
    RolloutCounts baseline;

    bool operator==(const RouteCounts &) const = default;
};

/** Counts by RolloutEvidence::hashRoute of the route. */
using RolloutTotals = std::map<std::uint64_t, RouteCounts>;

/** Whose responses a report counts. */
enum class RolloutScope : std::uint8_t {
    /** The sender's process. */
    Process = 0,
    /** The nodes of the sender's failure domain; only from relays to relays. */
    Domain = 1,
    /** The nodes of all other failure domains; only from relays to their group. */
    OtherDomains = 2,
};

/** State of a roll-out and evidence about it, as nodes report them to each other. */
struct RolloutReport
{
    PoolId pool;
    RolloutOrderId order;
    UpstreamVersion target;
    RolloutPhase phase = RolloutPhase::Exposing;
    /** Index of the exposed share, see RolloutExposure. */
    std::uint32_t stage = 0;
    /** Time since a node first read the order. */
    Duration age = Duration(0);
    RolloutScope scope = RolloutScope::Process;
    /** Random id of the sender's process, because counts start at zero in a new one. */
    std::uint64_t process = 0;
    /** Number of nodes that the report covers. */
    std::uint32_t nodeCount = 1;
    /** Runs of these nodes on upstreams of other versions. */
    std::uint64_t baselineRuns = 0;
    RolloutTotals totals;
};

/** Limit of the roll-outs in one digest. */
inline constexpr std::size_t maximumRolloutReports = 8;

/** Limit of the routes whose responses are counted separately for a roll-out; those on further routes are counted together. */
inline constexpr std::size_t maximumRolloutRoutes = 8;

}
