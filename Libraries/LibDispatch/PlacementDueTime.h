#pragma once

#include <LibConfig/Entities.h>
#include <LibCore/Time.h>

namespace Lovageward {

/**
 * Computes the time by which a request should leave the queue to meet the latency target of its class. Serving in order of due time
 * favours classes with short targets but doesn't starve the others: requests that arrive later also get a later due time.
 * The result lies at most halfway between arrival and queue deadline, so that a request with a distant target isn't delayed until
 * its deadline.
 */
TimePoint computePlacementDueTime(TargetKind target, Duration targetTime, TimePoint arrivedAt, TimePoint queueDeadline);

}
