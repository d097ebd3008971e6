#pragma once

#include <LibCore/Ids.h>
#include <LibDispatch/QueueEntry.h>
#include <LibPolicy/UpstreamChooser.h>

#include <cstdint>
#include <optional>

namespace Lovageward {

/** A request in the queue with all data needed to place it. */
struct WaitingWork
{
    QueueEntry entry;
    RequestId request;
    ModelId model;
    PoolId pool;
    PlacementRequest placement;
    /** Offset of the configuration from which `placement.pools` was resolved. */
    Offset resolvedOffset;
    std::uint32_t maximumConcurrent = 0;
    /** Upstream reserved for the request once it is past its due time. */
    std::optional<UpstreamId> reservedUpstream;
    /** True if no upstream could serve the request on arrival; its deadline was then shortened. */
    bool hasNoUpstream = false;
};

}
