#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Lovageward {

/**
 * Measures when the events of one stream were sent to the caller. The log shows from it whether a slow stream had a late first event or a long
 * pause. Not thread-safe.
 */
class StreamTiming
{
public:
    StreamTiming(const Clock &clock, TimePoint arrivedAt) : clock(clock), lastEventAt(arrivedAt), arrivedAt(arrivedAt)
    {
    }

    /** To be called when an event was sent to the caller. */
    void recordEvent()
    {
        auto now = this->clock.now();
        if (++this->count == 1) {
            this->firstEventDelay = now - this->arrivedAt;
        } else if (now - this->lastEventAt > this->maximumPause) {
            this->maximumPause = now - this->lastEventAt;
            this->eventAfterMaximumPause = this->count;
        }
        this->lastEventAt = now;
    }

    /** Number of events sent so far. */
    std::uint64_t eventCount() const
    {
        return this->count;
    }

    /** Time from the request's arrival to the first event; zero before it. */
    Duration timeToFirstEvent() const
    {
        return this->firstEventDelay;
    }

    /** Time from the first event to the last one. */
    Duration timeSinceFirstEvent() const
    {
        return this->lastEventAt - this->arrivedAt - this->firstEventDelay;
    }

    /** Longest time between two events; zero before the second event. */
    Duration longestPause() const
    {
        return this->maximumPause;
    }

    /** Number of the event that followed the longest pause, counted from 1; zero before the second event. */
    std::uint64_t eventAfterLongestPause() const
    {
        return this->eventAfterMaximumPause;
    }

private:
    const Clock &clock;
    TimePoint lastEventAt;
    TimePoint arrivedAt;
    std::uint64_t count = 0;
    std::uint64_t eventAfterMaximumPause = 0;
    Duration firstEventDelay = Duration(0);
    Duration maximumPause = Duration(0);
};

}
