#pragma once

#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>

namespace Lovageward {

/**
 * Computes the Retry-After delay for refused callers. Delays are randomized, so that callers that were refused together don't retry at the same time.
 * Callers retry a few times only, so delays are long where the cause lasts for seconds. Load patterns: full engines, and a restart of all nodes,
 * after which the upstreams register again.
 */
class RetryAfterPolicy
{
public:
    explicit RetryAfterPolicy(RandomSource &random) : random(random)
    {
    }

    /** Delay if all upstreams are full. Engines finish several runs per second, so it is short. */
    Duration delayWhenFull() const;

    /** Delay if the node has no configuration or knows no upstream. Both arrive within about two seconds after the store is available again. */
    Duration delayWhenNotReady() const;

    /** Delay if all upstreams refuse requests. `freeAt` is the earliest time at which one of them accepts requests again. */
    Duration delayUntil(TimePoint now, TimePoint freeAt) const;

private:
    Duration randomDelay(Duration minimum, Duration maximum) const;

    RandomSource &random;
};

}
