#include <LibDispatch/QueueWaitEstimator.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration bucketWidth = seconds(1);

/** Placements below which there is no estimate. A rate from fewer samples is mostly noise and would refuse work that can be placed. */
constexpr std::uint32_t minimumPlacements = 8;

/** Waiting time below which there is no estimate, for the same reason. */
constexpr Duration minimumWaitingTime = seconds(1);

std::int64_t periodOf(TimePoint time)
{
    return time.time_since_epoch() / bucketWidth;
}

}

void QueueWaitEstimator::setWaiting(TimePoint now, bool newIsWaiting)
{
    this->accumulateWaitingTime(now);
    this->isWaiting = newIsWaiting;
}

void QueueWaitEstimator::recordPlacement(TimePoint now)
{
    if (this->isWaiting) {
        ++this->bucketAt(now).placedCount;
    }
}

std::optional<Duration> QueueWaitEstimator::estimateWait(TimePoint now, double requestsAhead)
{
    this->accumulateWaitingTime(now);
    auto oldest = periodOf(now) - static_cast<std::int64_t>(bucketCount) + 1;
    Duration waitingTime(0);
    std::uint32_t placed = 0;
    for (const auto &bucket : this->buckets) {
        if (bucket.period >= oldest) {
            waitingTime += bucket.waitingTime;
            placed += bucket.placedCount;
        }
    }
    if (placed < minimumPlacements || waitingTime < minimumWaitingTime) {
        return std::nullopt;
    }
    auto perRequest = static_cast<double>(waitingTime.count()) / placed;
    return Duration(static_cast<Duration::rep>((requestsAhead + 1) * perRequest));
}

QueueWaitEstimator::Bucket &QueueWaitEstimator::bucketAt(TimePoint time)
{
    auto period = periodOf(time);
    auto &bucket = this->buckets[static_cast<std::size_t>(period) % bucketCount];
    if (bucket.period != period) {
        bucket = Bucket { .period = period };
    }
    return bucket;
}

void QueueWaitEstimator::accumulateWaitingTime(TimePoint now)
{
    auto from = std::max<TimePoint>(this->accumulatedUntil, now - bucketWidth * bucketCount);
    while (this->isWaiting && from < now) {
        auto until = std::min<TimePoint>(now, TimePoint((periodOf(from) + 1) * bucketWidth));
        this->bucketAt(from).waitingTime += until - from;
        from = until;
    }
    this->accumulatedUntil = now;
}

}
