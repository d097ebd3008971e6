#include <LibCore/SystemClock.h>

namespace Lovageward {

TimePoint SystemClock::now() const
{
    auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

WallTime SystemClock::wallNow() const
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<Duration>(sinceEpoch));
}

}
