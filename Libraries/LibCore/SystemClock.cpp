#include <LibCore/SystemClock.h>

#include <ctime>

namespace Lovageward {

TimePoint SystemClock::now() const
{
    // Unlike the steady clock, this one counts the time in which the machine was suspended: deadlines of callers pass meanwhile.
    timespec sinceBoot {};
    ::clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return TimePoint(std::chrono::duration_cast<Duration>(seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec)));
}

WallTime SystemClock::wallNow() const
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<Duration>(sinceEpoch));
}

}
