#include <LibDispatch/LinkBudget.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Seconds of traffic that may be sent at once. Short, so that the bursts of several nodes don't fill the link's buffers. */
constexpr double burstSeconds = 0.5;

}

LinkBudget::LinkBudget(const Clock &clock, Counters &counters, double linkBytesPerSecond, double controlShare)
    : clock(clock)
    , linkBytesPerSecond(linkBytesPerSecond)
    , controlShare(controlShare)
    , streamBucket(clock, this->rate(1 - controlShare), this->rate(1 - controlShare) * burstSeconds)
    , controlBucket(clock, this->rate(controlShare), this->rate(controlShare) * burstSeconds)
    , streamBytes(counters.counter("lovageward_link_bytes_total{kind=\"stream\"}"))
    , controlBytes(counters.counter("lovageward_link_bytes_total{kind=\"control\"}"))
    , delays(counters.counter("lovageward_link_delays_total"))
{
}

void LinkBudget::setLiveNodes(std::size_t count)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->liveNodes = std::max<std::size_t>(1, count);
    this->streamBucket.setRate(this->rate(1 - this->controlShare));
    this->controlBucket.setRate(this->rate(this->controlShare));
}

TimePoint LinkBudget::account(ByteCount bytes)
{
    this->streamBytes.add(static_cast<std::int64_t>(bytes.value()));
    this->streamBucket.take(static_cast<double>(bytes.value()));
    auto until = this->streamBucket.availableAt(0);
    if (until > this->clock.now()) {
        this->delays.add();
    }
    return until;
}

TimePoint LinkBudget::accountControl(ByteCount bytes)
{
    this->controlBytes.add(static_cast<std::int64_t>(bytes.value()));
    auto amount = static_cast<double>(bytes.value());
    if (this->controlBucket.tryTake(amount) || this->streamBucket.tryTake(amount)) {
        return this->clock.now();
    }
    this->controlBucket.take(amount);
    return this->controlBucket.availableAt(0);
}

bool LinkBudget::isExhausted() const
{
    return this->streamBucket.availableAt(1) > this->clock.now();
}

double LinkBudget::rate(double share) const
{
    return this->linkBytesPerSecond * share / static_cast<double>(this->liveNodes);
}

}
