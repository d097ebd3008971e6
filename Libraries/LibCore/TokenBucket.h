#pragma once

#include <LibCore/Clock.h>

#include <mutex>

namespace Lovageward {

/** Rate limit with a burst allowance. Units are chosen by the user (bytes, loads, requests). Thread-safe; its mutex is a leaf lock. */
class TokenBucket
{
public:
    /** The bucket starts full. ratePerSecond and burst are in the user's units. */
    TokenBucket(const Clock &clock, double ratePerSecond, double burst);

    /** Takes the amount if it is available now. */
    bool tryTake(double amount);

    /** Takes the amount even if it isn't available; the debt delays later takers. */
    void take(double amount);

    /** Earliest time at which the amount would be available. */
    TimePoint availableAt(double amount) const;

    void setRate(double newRatePerSecond);

private:
    double levelAt(TimePoint time) const;

    const Clock &clock;
    mutable std::mutex mutex;
    double ratePerSecond;
    double burst;
    double level;
    TimePoint updatedAt;
};

}
