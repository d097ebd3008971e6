#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <limits>

namespace Lovageward {

/** Tells all running requests that the node shuts down. Safe from several threads. */
class DrainSignal
{
public:
    /** Begins the shutdown. Streams that still run at the deadline hand over their resume token. */
    void begin(TimePoint deadline)
    {
        this->deadlineCount.store(deadline.time_since_epoch().count());
    }

    bool hasBegun() const
    {
        return this->deadlineCount.load() != notBegun;
    }

    /** End of the drain; the latest time there is if no shutdown has begun. */
    TimePoint deadline() const
    {
        return TimePoint(Duration(this->deadlineCount.load()));
    }

private:
    static constexpr Duration::rep notBegun = std::numeric_limits<Duration::rep>::max();

    std::atomic<Duration::rep> deadlineCount = notBegun;
};

}
