#pragma once

#include <LibCore/Time.h>

namespace Lovageward {

/** Blocks the calling thread until a given time. Tests advance a manual clock instead. */
class Waiter
{
public:
    virtual ~Waiter() = default;
    virtual void waitUntil(TimePoint time) = 0;
};

}
