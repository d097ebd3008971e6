#include <LibDispatch/RetryBudget.h>

namespace Lovageward {

RetryBudget::RetryBudget(double ratio, double minimumRetries, Duration window) : ratio(ratio), minimumRetries(minimumRetries), bucketWidth(window / bucketCount)
{
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++this->bucketAt(now).requests;
}

bool RetryBudget::tryConsumeRetry(TimePoint now)
{
    auto oldest = this->periodOf(now) - static_cast<std::int64_t>(bucketCount) + 1;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto &bucket : this->buckets) {
        if (bucket.period >= oldest) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    auto allowed = this->minimumRetries + this->ratio * static_cast<double>(requests);
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++this->bucketAt(now).retries;
    return true;
}

TimePoint RetryBudget::nextChangeTime(TimePoint now) const
{
    return TimePoint((this->periodOf(now) + 1) * this->bucketWidth);
}

std::int64_t RetryBudget::periodOf(TimePoint time) const
{
    return time.time_since_epoch() / this->bucketWidth;
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    auto period = this->periodOf(now);
    auto &bucket = this->buckets[static_cast<std::size_t>(period) % bucketCount];
    if (bucket.period != period) {
        bucket = Bucket { .period = period };
    }
    return bucket;
}

}
