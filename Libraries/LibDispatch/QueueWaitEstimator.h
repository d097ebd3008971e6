#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Lovageward {

/**
 * Estimates the waiting time of a request from the rate at which waiting requests were placed recently. Only time in which requests
 * were waiting counts, because otherwise the placement rate reflects the arrival rate and not the capacity.
 * Not thread-safe: its owner serialises the calls.
 */
class QueueWaitEstimator
{
public:
    /** Sets whether requests are waiting from `now` on. */
    void setWaiting(TimePoint now, bool isWaiting);

    /** Counts a placement if requests were waiting. */
    void recordPlacement(TimePoint now);

    /**
     * Estimates the time until a request with `requestsAhead` requests before it is placed. Empty if there were too few placements or
     * too little waiting time recently.
     */
    std::optional<Duration> estimateWait(TimePoint now, double requestsAhead);

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t period = -1;
        Duration waitingTime = Duration(0);
        std::uint32_t placedCount = 0;
    };

    Bucket &bucketAt(TimePoint time);
    void accumulateWaitingTime(TimePoint now);

    std::array<Bucket, bucketCount> buckets;
    bool isWaiting = false;
    TimePoint accumulatedUntil;
};

}
