#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>

namespace Lovageward {

/** Bounds the log lines of an event that clients can cause at any rate: one a second, with the number of events since the last. Thread-safe. */
class EventThrottle
{
public:
    explicit EventThrottle(const Clock &clock) : clock(clock)
    {
    }

    /** Counts an event. Returns the number of events since the last line if a line is due. */
    std::optional<std::uint64_t> count()
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        ++this->events;
        auto now = this->clock.now();
        if (now < this->nextLineAt) {
            return std::nullopt;
        }
        this->nextLineAt = now + seconds(1);
        return std::exchange(this->events, 0);
    }

private:
    const Clock &clock;
    std::mutex mutex;
    TimePoint nextLineAt;
    std::uint64_t events = 0;
};

}
