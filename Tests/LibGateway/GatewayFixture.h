#pragma once

#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/RequestPlacer.h>
#include <LibGateway/UpstreamHealth.h>
#include <LibGateway/UpstreamPicker.h>
#include <LibGateway/UpstreamRateLimiter.h>
#include <LibGateway/UpstreamRegistry.h>
#include <Support/FakeFleet.h>

#include <fmt/format.h>

#include <string>

namespace Lovageward {

inline constexpr std::uint64_t engineKvCacheTokens = 30'000;

inline UpstreamRecord upstreamRecord(const std::string &id, const std::string &domain = "a1")
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.boot = BootId("1");
    record.pool = PoolId("engines");
    record.address = "127.0.0.1:1";
    record.failureDomain = FailureDomainId(domain);
    record.slots = 24;
    return record;
}

inline UpstreamPool enginePool()
{
    UpstreamPool pool;
    pool.id = PoolId("engines");
    EngineTraits traits;
    traits.kvCacheTokens = TokenCount(engineKvCacheTokens);
    traits.slots = 24;
    traits.tokensPerEvent = 4;
    traits.supportsMigration = true;
    traits.supportsStandbyCopies = true;
    pool.engine = traits;
    return pool;
}

inline Route streamRoute()
{
    Route route;
    route.id = RouteId("long");
    route.host = "shop.example";
    route.pathPrefix = "/long/";
    route.isStream = true;
    route.timeout = seconds(30);
    route.targetLatency = milliseconds(1800);
    route.pools = { WeightedPool { PoolId("engines"), 1 } };
    return route;
}

/** Two regions with two failure domains each. The node is in a1. */
inline NodeLocation testLocation()
{
    NodeLocation location;
    location.failureDomain = FailureDomainId("a1");
    location.region = RegionId("a");
    for (const auto *domain : { "a1", "a2", "b1", "b2" }) {
        location.regions[FailureDomainId(domain)] = RegionId(std::string(domain, 1));
    }
    return location;
}

/** Utilization up to which engines get standby copies. */
inline constexpr double standbyUtilizationLimit = 0.35;

/** A request placer with all its dependencies. */
struct PlacementFixture
{
    ManualClock clock;
    SeededRandom random { 1 };
    UpstreamRegistry registry { clock };
    LoadTracker loadTracker { clock };
    TokenTimeTracker tokenTimes { clock };
    UpstreamHealth health { clock };
    UpstreamRefusals refusals { clock };
    StatedRateLimits rateLimits { clock };
    UpstreamRateLimiter rateLimiter { clock, random };
    UpstreamSpeedTracker speeds { clock, loadTracker, false };
    FakeFleet fleet;
    UpstreamPicker picker { testLocation(), random, standbyUtilizationLimit };
    RequestPlacer placer { clock, registry, loadTracker, tokenTimes, health, refusals, rateLimits, rateLimiter, speeds, picker, random, fleet };
    Route route = streamRoute();
    UpstreamPool pool = enginePool();

    PlacementConstraints makeConstraints(double promptTokens = 3000, double outputTokens = 900) const
    {
        return PlacementConstraints { this->route, this->pool, Footprint { promptTokens, outputTokens, 2 * outputTokens }, {}, {} };
    }
};

}
