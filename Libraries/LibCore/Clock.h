#pragma once

#include <LibCore/Time.h>

namespace Lovageward {

/** Source of time. Decision classes take it in the constructor, so that tests supply a manual clock. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Monotonic time; never goes back. */
    virtual TimePoint now() const = 0;

    /** UTC wall time; may jump. */
    virtual WallTime wallNow() const = 0;
};

}
