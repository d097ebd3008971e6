#pragma once

#include <LibCore/Time.h>

namespace Lovageward {

/** Lets the calling thread wait; tests move a manual clock instead. */
class Waiter
{
public:
    virtual ~Waiter() = default;
    virtual void waitUntil(TimePoint time) = 0;
};

}
