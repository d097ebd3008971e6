#pragma once

#include <LibCore/RandomSource.h>
#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/OutputLengthPredictor.h>

#include <memory>
#include <string>
#include <vector>

namespace Lovageward {

/** A request together with the configuration that applies to it. */
struct AdmittedRequest
{
    ForwardedRequest request;
    /** Owns the route and the pool. */
    std::shared_ptr<const GatewayConfig> config;
    const Route *route = nullptr;
    const UpstreamPool *pool = nullptr;
    /** Empty if the route requires no API key. */
    TeamId team;
    /** Priority of the team, or of the route if the team has none; 0 is the highest. */
    std::uint32_t priority = 0;
    /** Earlier of the caller's deadline and the end of the route's timeout. */
    TimePoint deadline;
    std::vector<RegionId> allowedRegions;
    Footprint footprint;
};

/** Checks requests against the configuration and determines the pool and the regions that may serve them. Does no I/O. */
class RequestAdmission
{
public:
    RequestAdmission(RandomSource &random, const OutputLengthPredictor &predictor) : random(random), predictor(predictor)
    {
    }

    /**
     * Throws Error with RunState::NotRun: NodeStarting if there is no configuration yet, NotFound if no route matches, Unauthenticated if no team has
     * the API key, NoCapacity if the configuration allows no pool or region.
     */
    AdmittedRequest admit(ForwardedRequest request, std::shared_ptr<const GatewayConfig> config) const;

private:
    Footprint estimateFootprint(const ForwardedRequest &request, const Route &route, const UpstreamPool &pool) const;

    RandomSource &random;
    const OutputLengthPredictor &predictor;
};

}
