#include <LibGateway/RetrySlots.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Time between slots while the rate at which room becomes free is unknown; it spreads five callers over a second. */
constexpr Duration defaultInterval = milliseconds(200);

/** Shortest delay. A caller that returns sooner finds the same load. */
constexpr Duration shortestDelay = milliseconds(200);

/** Callers honour a delay of up to this part of the time that they have left. */
constexpr int remainingTimeDivisor = 3;

Duration randomPart(Duration range, RandomSource &random)
{
    return std::chrono::duration_cast<Duration>(range * random.unit());
}

}

Duration RetrySlots::assign(TimePoint now, TimePoint freeAt, Duration interval, TimePoint deadline, RandomSource &random)
{
    auto step = interval > Duration(0) ? interval : defaultInterval;
    auto longestDelay = std::max<Duration>((deadline - now) / remainingTimeDivisor, milliseconds(1));
    auto slot = std::max({ freeAt, this->nextSlot, now + std::min(shortestDelay, longestDelay) });
    auto delay = slot - now + randomPart(step, random);
    if (delay > longestDelay) {
        // No slot within the time is left. Such callers are spread over the later half of the time, without taking a slot.
        return longestDelay / 2 + randomPart(longestDelay / 2, random);
    }
    this->nextSlot = slot + step;
    return delay;
}

}
