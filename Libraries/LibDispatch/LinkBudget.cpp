#include <LibDispatch/LinkBudget.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Burst size of a bucket in seconds of traffic. Small, so that bursts of several nodes don't fill the link's buffers. */
constexpr double burstSeconds = 0.5;

std::unique_ptr<TokenBucket> makeBucket(const Clock &clock, double rate)
{
    return std::make_unique<TokenBucket>(clock, rate, rate * burstSeconds);
}

}

LinkBudget::LinkBudget(const Clock &clock, Counters &counters, double linkBytesPerSecond, double controlShare)
    : clock(clock)
    , linkBytesPerSecond(linkBytesPerSecond)
    , controlShare(controlShare)
    , streamBucket(makeBucket(clock, this->nodeRate(1 - controlShare)))
    , controlBucket(makeBucket(clock, this->nodeRate(controlShare)))
    , streamBytes(counters.counter("lovageward_link_bytes_total{kind=\"stream\"}"))
    , controlBytes(counters.counter("lovageward_link_bytes_total{kind=\"control\"}"))
    , delays(counters.counter("lovageward_link_delays_total"))
{
}

void LinkBudget::setLiveNodeCount(std::size_t count)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    count = std::max<std::size_t>(1, count);
    if (count == this->liveNodeCount) {
        return;
    }
    auto oldStreamRate = this->nodeRate(1 - this->controlShare);
    auto oldControlRate = this->nodeRate(this->controlShare);
    this->liveNodeCount = count;
    this->rescaleBucket(this->streamBucket, oldStreamRate, this->nodeRate(1 - this->controlShare));
    this->rescaleBucket(this->controlBucket, oldControlRate, this->nodeRate(this->controlShare));
}

TimePoint LinkBudget::accountStreamBytes(ByteCount bytes)
{
    this->streamBytes.add(static_cast<std::int64_t>(bytes.value()));
    std::lock_guard<std::mutex> guard(this->mutex);
    this->streamBucket->take(static_cast<double>(bytes.value()));
    auto until = this->streamBucket->availableAt(0);
    if (until > this->clock.now()) {
        this->delays.add();
    }
    return until;
}

TimePoint LinkBudget::accountControlBytes(ByteCount bytes)
{
    this->controlBytes.add(static_cast<std::int64_t>(bytes.value()));
    auto amount = static_cast<double>(bytes.value());
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->controlBucket->tryTake(amount) || this->streamBucket->tryTake(amount)) {
        return this->clock.now();
    }
    this->controlBucket->take(amount);
    return this->controlBucket->availableAt(0);
}

bool LinkBudget::isExhausted() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->streamBucket->availableAt(1) > this->clock.now();
}

void LinkBudget::rescaleBucket(std::unique_ptr<TokenBucket> &bucket, double oldRate, double newRate)
{
    auto debtTime = std::chrono::duration<double>(bucket->availableAt(0) - this->clock.now()).count();
    bucket = makeBucket(this->clock, newRate);
    bucket->take(newRate * burstSeconds + debtTime * oldRate);
}

double LinkBudget::nodeRate(double share) const
{
    return this->linkBytesPerSecond * share / static_cast<double>(this->liveNodeCount);
}

}
