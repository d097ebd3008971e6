#pragma once

#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>

namespace Lovageward {

/**
 * Assigns Retry-After times to rejected callers: each gets a time of its own at which room is predicted to be free, so that callers that were rejected
 * together don't return together. Load pattern: many callers are rejected in a burst, and each retries once. Not thread-safe.
 */
class RetrySlots
{
public:
    /**
     * Delay until the caller's slot. `freeAt` is when room is predicted to be free for one more request, `interval` the predicted time between two such
     * moments, zero if unknown. The delay is at most a third of the time until the caller's deadline, because callers don't honour a longer one.
     */
    Duration assign(TimePoint now, TimePoint freeAt, Duration interval, TimePoint deadline, RandomSource &random);

private:
    /** Time after the slot assigned last. */
    TimePoint nextSlot;
};

}
