#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Lovageward {

/**
 * Estimates how long messages of one sender were under way beyond the usual, from the sender's and the own monotonic clock.
 * The least difference seen between the clocks is taken for the undelayed one; it may grow slowly, since clocks drift.
 * The first message of a sender's process counts as undelayed.
 */
class DelayEstimator
{
public:
    /** Extra delay of a message that `run` of the sender stamped with `sentAt` and that arrived at `receivedAt`. */
    Duration delayOf(std::uint64_t run, TimePoint sentAt, TimePoint receivedAt);

private:
    bool isKnown = false;
    std::uint64_t senderRun = 0;
    Duration leastDifference = Duration(0);
    TimePoint updatedAt;
};

}
