#pragma once

#include <chrono>

namespace Lovageward {

/** Length of time in microseconds. State stores deadlines; durations appear only in settings, constants and parameters. */
using Duration = std::chrono::microseconds;

/** Tag clock of the monotonic time of one process; instances of Clock supply the values. */
struct MonotonicClockTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClockTag>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono asks for this name.
};

/** Tag clock of the wall time in UTC since the Unix epoch. */
struct WallClockTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<WallClockTag>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): std::chrono asks for this name.
};

/** Tag clock of the platform log, which stamps each record when it is appended. */
struct LogClockTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<LogClockTag>;
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming): std::chrono asks for this name.
};

/** Monotonic time of this process. Comparable only within one process. */
using TimePoint = MonotonicClockTag::time_point;
using WallTime = WallClockTag::time_point;
/** Append time of a log record; the same for every reader, so decisions based on it are the same on every node. */
using LogTime = LogClockTag::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** Whole milliseconds since the epoch of the clock. */
template<typename Point>
std::int64_t toMilliseconds(Point point)
{
    return std::chrono::duration_cast<milliseconds>(point.time_since_epoch()).count();
}

template<typename Point>
Point fromMilliseconds(std::int64_t value)
{
    return Point(milliseconds(value));
}

}
