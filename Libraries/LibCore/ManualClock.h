#pragma once

#include <LibCore/Clock.h>

#include <atomic>

namespace Lovageward {

/** Clock that moves only when told to; for tests and benches. Safe to read from several threads. */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return TimePoint(Duration(this->elapsed.load()));
    }

    /** The wall time starts at a fixed instant in 2026, so that tests see plausible values. */
    WallTime wallNow() const override
    {
        return WallTime(seconds(1'790'000'000)) + Duration(this->elapsed.load());
    }

    void advance(Duration step)
    {
        this->elapsed += step.count();
    }

private:
    std::atomic<Duration::rep> elapsed = 0;
};

}
