#include <LibGateway/RetryAfterPolicy.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration minimumDelayWhenFull = milliseconds(200);
constexpr Duration maximumDelayWhenFull = milliseconds(900);

/** Callers accept a delay of up to a third of their timeout; the shortest timeout is four seconds. */
constexpr Duration minimumDelayWhenNotReady = milliseconds(1000);
constexpr Duration maximumDelayWhenNotReady = milliseconds(1300);

/** Time over which the retries of callers that wait for the same moment are spread. */
constexpr Duration maximumSpread = milliseconds(200);

}

Duration RetryAfterPolicy::delayWhenFull() const
{
    return this->randomDelay(minimumDelayWhenFull, maximumDelayWhenFull);
}

Duration RetryAfterPolicy::delayWhenNotReady() const
{
    return this->randomDelay(minimumDelayWhenNotReady, maximumDelayWhenNotReady);
}

Duration RetryAfterPolicy::delayUntil(TimePoint now, TimePoint freeAt) const
{
    return std::max(freeAt - now, Duration(0)) + this->randomDelay(Duration(0), maximumSpread);
}

Duration RetryAfterPolicy::randomDelay(Duration minimum, Duration maximum) const
{
    return minimum + std::chrono::duration_cast<Duration>((maximum - minimum) * this->random.unit());
}

}
