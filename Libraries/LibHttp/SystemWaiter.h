#pragma once

#include <LibCore/Clock.h>
#include <LibRelay/Waiter.h>

#include <thread>

namespace Lovageward {

/** Lets the thread sleep. */
class SystemWaiter final : public Waiter
{
public:
    explicit SystemWaiter(const Clock &clock) : clock(clock)
    {
    }

    void waitUntil(TimePoint time) override
    {
        auto now = this->clock.now();
        if (time > now) {
            std::this_thread::sleep_for(time - now);
        }
    }

private:
    const Clock &clock;
};

}
