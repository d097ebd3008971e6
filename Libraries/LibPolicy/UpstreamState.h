#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace Lovageward {

enum class UpstreamPhase : std::uint8_t {
    Cold,
    Warm,
    Leaving,
};

/** Load report of an upstream (docs/design.md, section 4.5). It lags behind the truth. */
struct LoadReport
{
    BootId bootId;
    UpstreamPhase phase = UpstreamPhase::Cold;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    BlockCount kvBlocksUsed;
    BlockCount kvBlocksTotal;
    /** Requests that the upstream can bear at once while cold. */
    std::uint32_t coldLimit = 1;
    /** Local time at which the report was received, less its known age. */
    TimePoint measuredAt;
};

/** An upstream as routing sees it. */
struct UpstreamState
{
    UpstreamId id;
    PoolId pool;
    RegionId region;
    FailureDomainId failureDomain;
    /** "IP:port". */
    std::string address;
    /** True if the host list marks it as leaving. */
    bool isLeaving = false;
    LoadReport report;
};

}
