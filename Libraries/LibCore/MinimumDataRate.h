#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Lovageward {

/** Lower bound on the rate at which a client sends. */
struct DataRateLimit
{
    std::uint64_t bytesPerSecond = 0;
    /** Time over which the rate is taken, so that a lost packet doesn't count as slowness. */
    Duration window = seconds(5);
};

/**
 * Tells a client that sends too slowly from one that pauses briefly. It is made for clients that send a body a byte at a time to hold a connection for as
 * long as the largest body allows.
 */
class MinimumDataRate
{
public:
    MinimumDataRate(const DataRateLimit &limit, TimePoint now) : limit(limit), windowEndsAt(now + limit.window)
    {
    }

    /** Counts bytes that have arrived. Starts a new window if the current one has its bytes and has ended. */
    void countBytes(std::uint64_t bytes, TimePoint now)
    {
        this->bytesInWindow += bytes;
        if (now >= this->windowEndsAt && this->hasEnough()) {
            this->windowEndsAt = now + this->limit.window;
            this->bytesInWindow = 0;
        }
    }

    /** True if a window has ended without its bytes. */
    bool isTooSlow(TimePoint now) const
    {
        return now >= this->windowEndsAt && !this->hasEnough();
    }

private:
    bool hasEnough() const
    {
        return this->bytesInWindow >= this->limit.bytesPerSecond * static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(this->limit.window).count());
    }

    DataRateLimit limit;
    TimePoint windowEndsAt;
    std::uint64_t bytesInWindow = 0;
};

}
