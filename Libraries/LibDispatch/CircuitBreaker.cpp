#include <LibDispatch/CircuitBreaker.h>

#include <LibCore/Backoff.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration bucketWidth = seconds(1);

/**
 * Failures in the window that open the breaker, if they also make up at least half of all requests. A single slow or broken request must not
 * take an upstream out of service.
 */
constexpr std::uint32_t minimumFailures = 5;

constexpr Duration initialPause = seconds(1);
constexpr Duration maximumPause = seconds(30);
constexpr unsigned successfulProbesToClose = 2;

std::int64_t periodOf(TimePoint time)
{
    return time.time_since_epoch() / bucketWidth;
}

}

bool CircuitBreaker::allowsRequest(TimePoint now) const
{
    if (this->isClosed) {
        return true;
    }
    return now >= this->nextProbeAt && !this->isProbeRunning;
}

bool CircuitBreaker::recordStart()
{
    if (this->isClosed) {
        return false;
    }
    this->isProbeRunning = true;
    return true;
}

void CircuitBreaker::recordProbeResponse()
{
    this->isProbeRunning = false;
}

void CircuitBreaker::recordSuccess(TimePoint now, bool isProbe)
{
    if (this->isClosed) {
        ++this->bucketAt(now).successes;
        return;
    }
    if (!isProbe) {
        return;
    }
    this->isProbeRunning = false;
    ++this->successfulProbes;
    if (this->successfulProbes >= successfulProbesToClose) {
        *this = CircuitBreaker();
    }
}

bool CircuitBreaker::recordFailure(TimePoint now, bool isProbe, RandomSource &random)
{
    if (!this->isClosed) {
        if (isProbe) {
            this->isProbeRunning = false;
            this->open(now, random);
        }
        return false;
    }
    ++this->bucketAt(now).failures;
    auto sum = this->sumRecentBuckets(now);
    if (sum.failures < minimumFailures || sum.failures < sum.successes) {
        return false;
    }
    this->open(now, random);
    return true;
}

void CircuitBreaker::recordAbandonment(bool isProbe)
{
    if (isProbe) {
        this->isProbeRunning = false;
    }
}

bool CircuitBreaker::isIdle(TimePoint now) const
{
    return this->isClosed && this->sumRecentBuckets(now).failures == 0;
}

CircuitBreaker::Bucket &CircuitBreaker::bucketAt(TimePoint now)
{
    auto period = periodOf(now);
    auto &bucket = this->buckets[static_cast<std::size_t>(period) % bucketCount];
    if (bucket.period != period) {
        bucket = Bucket { .period = period };
    }
    return bucket;
}

CircuitBreaker::Bucket CircuitBreaker::sumRecentBuckets(TimePoint now) const
{
    auto oldest = periodOf(now) - static_cast<std::int64_t>(bucketCount) + 1;
    Bucket sum;
    for (const auto &bucket : this->buckets) {
        if (bucket.period >= oldest) {
            sum.successes += bucket.successes;
            sum.failures += bucket.failures;
        }
    }
    return sum;
}

void CircuitBreaker::open(TimePoint now, RandomSource &random)
{
    Backoff backoff(random, initialPause, maximumPause);
    // Full jitter alone could allow a probe at once, so it is added to a fixed minimum.
    auto pause = initialPause / 2 + backoff.delay(this->consecutiveOpenings);
    this->isClosed = false;
    this->nextProbeAt = now + std::min(pause, maximumPause);
    this->successfulProbes = 0;
    ++this->consecutiveOpenings;
}

}
