#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Lovageward {

/** When the events of one stream left for its caller, for the log: a late stream has a late first event or a long pause. Used by one thread. */
class StreamPace
{
public:
    StreamPace(const Clock &clock, TimePoint arrivedAt) : clock(clock), lastAt(arrivedAt), arrivedAt(arrivedAt)
    {
    }

    void eventSent()
    {
        auto now = this->clock.now();
        if (++this->count == 1) {
            this->untilFirst = now - this->arrivedAt;
        } else if (now - this->lastAt > this->longest) {
            this->longest = now - this->lastAt;
            this->longestBefore = this->count;
        }
        this->lastAt = now;
    }

    std::uint64_t events() const
    {
        return this->count;
    }

    /** Zero before the first event. */
    Duration firstAfter() const
    {
        return this->untilFirst;
    }

    Duration longestPause() const
    {
        return this->longest;
    }

    /** Number of the event before which the longest pause was, counted from 1. */
    std::uint64_t longestPauseBefore() const
    {
        return this->longestBefore;
    }

private:
    const Clock &clock;
    TimePoint lastAt;
    TimePoint arrivedAt;
    std::uint64_t count = 0;
    std::uint64_t longestBefore = 0;
    Duration untilFirst = Duration(0);
    Duration longest = Duration(0);
};

}
