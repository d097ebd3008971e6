#pragma once

#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>

namespace Lovageward {

/** Exponential backoff with full jitter. Full jitter spreads the retries of many nodes that failed at the same moment. */
class Backoff
{
public:
    Backoff(RandomSource &random, Duration base, Duration cap) : random(random), base(base), cap(cap)
    {
    }

    /** Uniform in [0, min(cap, base * 2^attempt)]; attempt counts from 0. */
    Duration delay(unsigned attempt);

private:
    RandomSource &random;
    Duration base;
    Duration cap;
};

}
