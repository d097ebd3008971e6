#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/UpstreamState.h>

#include <cstdint>

namespace Lovageward {

/** Numeric state of an upstream as needed for a choice. It holds no strings, so that comparing candidates copies none. */
struct UpstreamSummary
{
    /** Number of the upstream in its table. Not reused after the upstream is removed. */
    std::uint32_t slot = 0;
    /** Effective phase, as in UpstreamTable::find. */
    UpstreamPhase phase = UpstreamPhase::Cold;
    bool hasReport = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t coldLimit = 1;
    std::uint64_t kvBlocksUsed = 0;
    std::uint64_t kvBlocksTotal = 0;
    TimePoint measuredAt;
    /** Hash of the upstream's id; equal on every node. */
    std::uint64_t idHash = 0;
};

}
