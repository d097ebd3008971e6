#pragma once

#include <LibGateway/RolloutObservation.h>

#include <memory>
#include <optional>
#include <set>

namespace Lovageward {

/** The versions whose upstreams may get a request. */
struct VersionFilter
{
    /** Versions that may not be used. */
    std::set<UpstreamVersion> blocked;
    /** Versions that may be used; nullopt for all that aren't blocked. */
    std::optional<std::set<UpstreamVersion>> allowed;

    bool allows(const UpstreamVersion &version) const
    {
        return !this->blocked.contains(version) && (!this->allowed || this->allowed->contains(version));
    }
};

/** Upstreams of the target version that a request is to be sent to, if they have capacity. */
struct TargetSelection
{
    UpstreamVersion version;
    /** The upstreams that get exposed requests; empty for all of the version. */
    std::set<UpstreamId> upstreams;

    bool includes(const UpstreamRecord &upstream) const
    {
        return upstream.version == this->version && (this->upstreams.empty() || this->upstreams.contains(upstream.id));
    }
};

/** Where a request may be placed while versions are rolled out. */
struct VersionRule
{
    std::optional<TargetSelection> target;
    /** The target selection was taken out of the exposure budget and has to be given back if it isn't used. */
    bool isExposure = false;
    /** Applies if the target upstreams have no capacity, or if there are none. */
    VersionFilter filter;
};

/** Decides which versions of a pool may get requests. The only way to the target version of a roll-out. */
class RolloutGate
{
public:
    virtual ~RolloutGate() = default;

    /** Rule for a request that has not been sent before if `isFirstAttempt`. Only such requests are exposed. */
    virtual VersionRule beginPlacement(const PoolId &pool, const RouteId &route, bool isFirstAttempt) = 0;

    /** The exposed request of the rule couldn't be placed. */
    virtual void cancelExposure(const PoolId &pool) = 0;

    /** Rule for a copy of a run of `runner`. */
    virtual VersionFilter copyFilter(const PoolId &pool, const UpstreamRecord &runner) const = 0;

    /** Whether a request may be sent to the upstream now, apart from exposed ones. */
    virtual bool mayContinueOn(const UpstreamRecord &upstream) const = 0;

    /** A request was placed. Returns nullptr unless the pool has a running roll-out. */
    virtual std::unique_ptr<RolloutObservation> observe(const RouteId &route, const UpstreamRecord &upstream, bool isFirstAttempt) = 0;
};

}
