#pragma once

#include <LibCore/Time.h>

namespace Lovageward {

/** A period in which the store didn't answer. */
struct StoreOutage
{
    /** Time of the last answer before it. */
    TimePoint startedAt;
    /** Time of the first answer after it. */
    TimePoint endedAt;
};

/** An outage as nodes report it to each other. */
struct StoreOutageReport
{
    /** Time since the last answer of the store before the outage. */
    Duration startAge = Duration(0);
    /** Time since the first answer of the store after the outage. */
    Duration endAge = Duration(0);

    bool operator==(const StoreOutageReport &) const = default;
};

}
