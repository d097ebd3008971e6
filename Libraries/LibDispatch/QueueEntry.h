#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace Lovageward {

/** Identifies a queued request from its arrival until it is placed or refused. */
using TicketId = NumberId<struct TicketIdTag>;

/** Identifies the capacity that requests compete for: "model/<id>" for generations, "pool/<id>" for plain services. */
using ResourceId = TextId<struct ResourceIdTag>;

/** Properties of a queued request that determine its order in the queue. */
struct QueueEntry
{
    TicketId ticket;
    ResourceId resource;
    TeamId team;
    WorkClassId workClass;
    std::uint32_t share = 1;
    /** Time by which the request should be placed to meet its target. Requests of all classes are ordered by it. */
    TimePoint dueTime;
    /** Time at which the request is refused if it still waits. */
    TimePoint deadline;
    /** True if only some upstreams may serve the request, so that it may be blocked while the requests behind it are not. */
    bool isRestricted = false;
};

}
