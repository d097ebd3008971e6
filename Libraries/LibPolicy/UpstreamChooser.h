#pragma once

#include <LibConfig/Entities.h>
#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibPolicy/UpstreamState.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Lovageward {

/** Identifies one placement of a request on an upstream until it is released. */
using PlacementId = NumberId<struct PlacementIdTag>;

/** Properties of a request that determine its placement. */
struct PlacementRequest
{
    TeamId team;
    WorkClassId workClass;
    TargetKind target = TargetKind::Completion;
    Duration targetTime = seconds(30);
    /** Pools that can serve the request. */
    std::vector<PoolId> pools;
    /** Stable hash of the prompt's prefix, for prefix affinity; 0 if unknown. */
    std::uint64_t prefixHash = 0;
    TokenCount promptTokens;
    bool isOwnRegionOnly = false;
    /** Upstreams on which this request has already failed. */
    std::vector<UpstreamId> excluded;
    TimePoint arrivedAt;
};

/** An upstream that can take the request now. */
struct UpstreamChoice
{
    UpstreamId upstream;
    /** True if the upstream is cold, so that placing the request requires a credit. */
    bool needsCredit = false;
};

/**
 * Decides whether a request is admitted now and on which upstream it is placed. Not thread-safe: the caller serialises the
 * calls.
 */
class UpstreamChooser
{
public:
    virtual ~UpstreamChooser() = default;

    /** Returns an upstream for the request, or nothing if the request must wait because no candidate can take it. */
    virtual std::optional<UpstreamChoice> choose(const PlacementRequest &request) = 0;

    /** Records that the request was placed. */
    virtual void recordStart(PlacementId id, const UpstreamId &upstream, const PlacementRequest &request) = 0;

    /** Records that the request has produced `produced` tokens in total. */
    virtual void recordProgress(PlacementId id, TokenCount produced) = 0;

    /** Records the end of a placement. `isComplete` is false for cancelled and failed requests, whose length is only a lower bound. */
    virtual void recordEnd(PlacementId id, TokenCount produced, bool isComplete) = 0;
};

}
