#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lovageward {

using RouteId = TextId<struct RouteIdTag>;
/** Version of a complete configuration; higher is newer. */
using ConfigVersion = NumberId<struct ConfigVersionTag>;

/** Whether a forwarded request may be executed again. */
enum class ExecutionSemantics {
    /** The request may be executed any number of times. */
    Idempotent,
    /** The request must not be executed more than once. */
    AtMostOnce,
};

/** A pool that a route sends to, weighted against the other pools of the route. */
struct WeightedPool
{
    PoolId pool;
    std::uint32_t weight = 1;
};

/** Pools and policies for the requests to one host and path prefix. */
struct Route
{
    RouteId id;
    std::string host;
    /** Starts and ends with a slash. */
    std::string pathPrefix;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    /** The response is a stream of events. */
    bool isStream = false;
    /** Another upstream may resume a stream after the last event received. */
    bool isResumable = false;
    /** Maximum time from the arrival of a request to the end of its response. */
    Duration timeout = Duration(0);
    /** Latency target: time to the response, or to the first event of a stream. */
    Duration targetLatency = Duration(0);
    /** Latency target for the time between two events of a stream. */
    Duration targetGap = Duration(0);
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    std::vector<WeightedPool> pools;
    /** Maximum number of upstreams that a request is sent to, the first one included. */
    std::uint32_t maximumAttempts = 1;
    bool requiresApiKey = true;
    /** Regions whose upstreams may serve the requests; empty if all may. */
    std::vector<RegionId> allowedRegions;
};

/** Capacity and capabilities of the engines of a pool. */
struct EngineTraits
{
    TokenCount kvCacheTokens;
    std::uint32_t slots = 0;
    /** Number of output tokens in one event of a stream. */
    double tokensPerEvent = 1;
    /** Runs can be migrated to another engine together with their KV cache. */
    bool supportsMigration = false;
    /** The KV cache of a run can be copied to another engine while the run continues. */
    bool supportsStandbyCopies = false;
};

struct UpstreamPool
{
    PoolId id;
    /** Rate of requests that a cold upstream of the pool can handle; 0 if its upstreams have no cold phase. */
    double coldRequestsPerSecond = 0;
    /** Connections that one upstream accepts from all nodes together. */
    std::uint32_t maximumConnections = 0;
    /** Absent for plain services. */
    std::optional<EngineTraits> engine;
};

struct GatewayTeam
{
    TeamId id;
    /** Priority of the team's requests; 0 is the highest. Overrides the priority of the route. */
    std::optional<std::uint32_t> priority;
    std::vector<std::string> acceptedKeys;
    /** As Route::allowedRegions. A region must be allowed by both the route and the team. */
    std::vector<RegionId> allowedRegions;
};

/** Limits on the size of a caller's request and the time for sending it. */
struct CallerLimits
{
    std::size_t maximumHeadBytes = 16384;
    std::size_t maximumBodyBytes = 4194304;
    Duration headTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/** One version of the configuration for forwarded requests. Immutable after construction. */
class GatewayConfig
{
public:
    GatewayConfig(ConfigVersion version, std::vector<Route> routes, std::vector<UpstreamPool> pools, std::vector<GatewayTeam> teams, CallerLimits limits);

    ConfigVersion version() const
    {
        return this->number;
    }

    const CallerLimits &limits() const
    {
        return this->callerLimits;
    }

    /** False if no teams are configured; callers then need no API keys. */
    bool hasTeams() const
    {
        return !this->teams.empty();
    }

    /** The host's route with the longest matching path prefix; nullptr if none matches. A port in `host` is ignored. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** The team with this API key; nullptr if there is none. */
    const GatewayTeam *findTeam(const std::string &key) const;

    /** The pool with this id; nullptr if it isn't configured. */
    const UpstreamPool *findPool(const PoolId &pool) const;

private:
    ConfigVersion number;
    std::vector<Route> routes;
    std::map<PoolId, UpstreamPool> pools;
    std::vector<GatewayTeam> teams;
    CallerLimits callerLimits;
    /** Indexes into `routes` by host name in lower case, longest path prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
    /** Indexes into `teams` by API key. */
    std::unordered_map<std::string, std::size_t> teamsByKey;
};

}
