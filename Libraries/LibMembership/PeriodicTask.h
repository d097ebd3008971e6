#pragma once

#include <LibCore/Time.h>

namespace Lovageward {

/** Work that is due again and again. Step-driven, so that tests run it without threads. */
class PeriodicTask
{
public:
    virtual ~PeriodicTask() = default;

    /** Does what is due now, which may block on I/O, and returns the time of the next step. Called by one thread at a time. */
    virtual TimePoint step() = 0;
};

}
