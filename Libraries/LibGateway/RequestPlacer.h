#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/EngineForecast.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/GatewayConfig.h>
#include <LibGateway/LoadTracker.h>
#include <LibGateway/RolloutGate.h>
#include <LibGateway/StatedRateLimits.h>
#include <LibGateway/TokenTimeTracker.h>
#include <LibGateway/UpstreamHealth.h>
#include <LibGateway/UpstreamPicker.h>
#include <LibGateway/UpstreamRateLimiter.h>
#include <LibGateway/UpstreamRefusals.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibGateway/UpstreamSpeedTracker.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lovageward {

/** Requirements of a request on its placement. */
struct PlacementConstraints
{
    const Route &route;
    const UpstreamPool &pool;
    Footprint footprint;
    /** Regions that both the route and the team allow; empty if all are allowed. */
    std::vector<RegionId> allowedRegions;
    /** Upstreams that the request has already been sent to. */
    std::vector<UpstreamId> excluded;
    /** Only for place(): engines that would delay this request are left out. See removeEnginesThatDelay(). */
    std::optional<FollowingRequest> following = std::nullopt;
};

/** A run placed at an upstream. Its load is reserved from the decision on. */
struct PlacedRun
{
    UpstreamRecord upstream;
    std::unique_ptr<LoadReservation> reservation;
    /** Evidence about the version of the upstream; nullptr unless its pool has a running roll-out. */
    std::unique_ptr<RolloutObservation> observation;
    /** State of the upstream before the placement, for the log. */
    UpstreamLoad load;
    double failureRate = 0;
    /** Zero if unknown. */
    Duration tokenTime = Duration(0);
};

struct PlacementResult
{
    PickOutcome outcome = PickOutcome::NoUpstream;
    PlacedRun run;
    std::size_t candidates = 0;
    /** With PickOutcome::Refused and RateLimited: the earliest time at which one of the upstreams accepts requests from this node again. */
    TimePoint availableAt;
    /** From place(): the shortest predicted times at the candidates that were considered. Absent for plain services. */
    std::optional<RunForecast> forecast;
};

/**
 * Places requests on upstreams and reserves their load in one step, so that two threads don't use the same capacity. In a hierarchical fleet a request
 * considers only a random sample of the upstreams, and only few far ones: their loads are known only as sums, so all nodes would send to the one that
 * seems least loaded. Load pattern: an engine that joins empty while the others are nearly full. Lock order: its own mutex, then that of the RolloutGate, then
 * the leaf locks of the registry, the load tracker, the speed tracker, the token times, the health scores, the refusals, the stated rate limits and the rate
 * limiter.
 */
class RequestPlacer
{
public:
    RequestPlacer(const Clock &clock,
                  const UpstreamRegistry &registry,
                  LoadTracker &loadTracker,
                  const TokenTimeTracker &tokenTimes,
                  const UpstreamHealth &health,
                  const UpstreamRefusals &refusals,
                  const StatedRateLimits &rateLimits,
                  UpstreamRateLimiter &rateLimiter,
                  UpstreamSpeedTracker &speeds,
                  const UpstreamPicker &picker,
                  RandomSource &random,
                  const FleetView &fleet,
                  RolloutGate *rollouts = nullptr);

    PlacementResult place(const PlacementConstraints &constraints);

    /**
     * Places a copy of the KV cache of a run of `runner` at another engine. A migration takes the request that continues the run out of the engine's
     * rate limit; engines with a rate limit get no standby copies. The outcome is never PickOutcome::Refused or RateLimited.
     */
    PlacementResult placeCopy(const PlacementConstraints &constraints, const UpstreamRecord &runner, CopyPurpose purpose);

    /** Whether a request may be sent to the upstream now: it is usable and doesn't refuse requests from this node. */
    bool acceptsRequests(const UpstreamRecord &upstream) const;

    /**
     * Takes a request that continues a run out of the rate limit that the upstream states, if any. Returns false if the limit is used up. The rate of
     * cold upstreams doesn't bind such requests: a node's share of it is smaller than the number of runs that a leaving engine has to hand over.
     */
    bool tryAcquireRateLimit(const UpstreamRecord &upstream);

    /** Selects a pool by the weights of the route. `draw` is a random number, uniform in [0, 1). */
    static PoolId choosePool(const Route &route, double draw);

private:
    using VersionPredicate = std::function<bool(const UpstreamRecord &)>;

    /** Places the request at one of the upstreams that satisfy `isEligible`. */
    PlacementResult placeAmong(const PlacementConstraints &constraints, const VersionPredicate &isEligible);
    /** The upstreams that may run the request now. If there are none because of refusals, sets `refusedUntil` to the earliest end of a refusal. */
    std::vector<Candidate>
    collectCandidates(const PlacementConstraints &constraints, std::optional<TimePoint> &refusedUntil, const VersionPredicate &isVersionEligible) const;
    /** Takes a new request out of the upstream's request rate if it has one: a stated limit, or the rate of its pool while it is cold. */
    bool tryAcquireRate(const UpstreamRecord &upstream, const UpstreamPool &pool);
    /** Time at which this node may send a request to an upstream whose request rate is used up: its next slot, or the end of a cold start before. */
    TimePoint nextAvailableAt(const UpstreamRecord &upstream) const;
    /** Whether the candidate may get a copy now. Takes a request out of its rate limit for a migration. */
    bool admitsCopy(const UpstreamRecord &upstream, CopyPurpose purpose);
    /**
     * The upstream with its state. Loads that are known only as a sum are divided equally among the usable upstreams of the pool and domain, unless the
     * upstream itself has reported its load.
     */
    Candidate makeCandidate(UpstreamRecord record, const Footprint &footprint) const;

    const Clock &clock;
    const UpstreamRegistry &registry;
    LoadTracker &loadTracker;
    const TokenTimeTracker &tokenTimes;
    const UpstreamHealth &health;
    const UpstreamRefusals &refusals;
    const StatedRateLimits &rateLimits;
    UpstreamRateLimiter &rateLimiter;
    UpstreamSpeedTracker &speeds;
    const UpstreamPicker &picker;
    RandomSource &random;
    const FleetView &fleet;
    /** nullptr if roll-outs are disabled. */
    RolloutGate *rollouts;
    std::mutex mutex;
};

}
