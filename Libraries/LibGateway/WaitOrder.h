#pragma once

namespace Lovageward {

/** Order in which requests that find no capacity get it when it becomes free. */
enum class WaitOrder {
    /** Each request tries again by itself for a fraction of its target latency. */
    Arrival,
    /** Requests wait in one list per pool, ordered by priority, latest start and required work (see WaitingRequests). */
    Deadline,
};

}
