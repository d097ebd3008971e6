#include <LibGateway/ReturnAdvice.h>

namespace Lovageward {

namespace {

constexpr Duration shortestWhenFull = milliseconds(200);
constexpr Duration longestWhenFull = milliseconds(900);

/** Callers with a wait of four seconds follow an advice of up to a third of it. */
constexpr Duration shortestWhenUnknown = milliseconds(1000);
constexpr Duration longestWhenUnknown = milliseconds(1300);

}

Duration ReturnAdvice::whenFull() const
{
    return this->between(shortestWhenFull, longestWhenFull);
}

Duration ReturnAdvice::whenUnknown() const
{
    return this->between(shortestWhenUnknown, longestWhenUnknown);
}

Duration ReturnAdvice::between(Duration shortest, Duration longest) const
{
    return shortest + std::chrono::duration_cast<Duration>((longest - shortest) * this->random.unit());
}

}
