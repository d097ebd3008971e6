#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Lovageward {

/**
 * Limits retries to a ratio of the first attempts in a sliding window, so that retries can't multiply the load during an outage.
 * A minimum number of retries is allowed in addition, so that a node with few requests can retry at all.
 * Not thread-safe: its owner serialises the calls.
 */
class RetryBudget
{
public:
    /** Allows `minimumRetries + ratio * requests` retries within `window`. */
    RetryBudget(double ratio, double minimumRetries, Duration window);

    /** Sets the number of retries per window that are allowed in addition to the ratio. */
    void setMinimumRetries(double retries)
    {
        this->minimumRetries = retries;
    }

    /** Counts an admitted first attempt. */
    void recordRequest(TimePoint now);

    /** Counts a retry and returns true if the window then holds at most `minimumRetries + ratio * requests` retries. */
    bool tryConsumeRetry(TimePoint now);

    /** Time at which the oldest bucket leaves the window, so that the budget may grow again. */
    TimePoint nextChangeTime(TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t period = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    std::int64_t periodOf(TimePoint time) const;
    Bucket &bucketAt(TimePoint now);

    double ratio;
    double minimumRetries;
    Duration bucketWidth;
    std::array<Bucket, bucketCount> buckets;
};

}
