#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <limits>

namespace Lovageward {

/** Signals the shutdown of the node to all running requests. Thread-safe. */
class DrainSignal
{
public:
    /** Begins the shutdown. Streams that still run at the deadline are ended with a resume token for the caller. */
    void begin(TimePoint deadline)
    {
        this->deadlineCount.store(deadline.time_since_epoch().count());
    }

    bool hasBegun() const
    {
        return this->deadlineCount.load() != notBegun;
    }

    /** End of the drain; the maximum time point if no shutdown has begun. */
    TimePoint deadline() const
    {
        return TimePoint(Duration(this->deadlineCount.load()));
    }

private:
    static constexpr Duration::rep notBegun = std::numeric_limits<Duration::rep>::max();

    std::atomic<Duration::rep> deadlineCount = notBegun;
};

}
