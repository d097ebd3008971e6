#include <LibCredits/DelayEstimator.h>

#include <algorithm>

namespace Lovageward {

namespace {

// Quartz clocks differ by less than 200 millionths.
constexpr Duration::rep driftDivisor = 5000;

}

Duration DelayEstimator::delayOf(std::uint64_t run, TimePoint sentAt, TimePoint receivedAt)
{
    auto difference = receivedAt - sentAt;
    if (!this->isKnown || run != this->senderRun) {
        this->isKnown = true;
        this->senderRun = run;
        this->leastDifference = difference;
        this->updatedAt = receivedAt;
        return Duration(0);
    }
    auto drift = (receivedAt - this->updatedAt) / driftDivisor;
    this->leastDifference = std::min(difference, this->leastDifference + drift);
    this->updatedAt = receivedAt;
    return difference - this->leastDifference;
}

}
