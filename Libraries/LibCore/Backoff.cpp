#include <LibCore/Backoff.h>

#include <algorithm>

namespace Lovageward {

Duration Backoff::delay(unsigned attempt)
{
    // The shift is limited so that the multiplication can't overflow.
    constexpr unsigned maximumShift = 20;
    auto factor = Duration::rep(1) << std::min(attempt, maximumShift);
    auto bound = std::min(this->cap, this->base * factor);
    return Duration(static_cast<Duration::rep>(this->random.unit() * static_cast<double>(bound.count())));
}

}
