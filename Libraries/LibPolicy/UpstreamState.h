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

/** Load report of an upstream (docs/design.md, section 4.5). It describes the past: the load may have changed since. */
struct LoadReport
{
    BootId bootId;
    UpstreamPhase phase = UpstreamPhase::Cold;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    BlockCount kvBlocksUsed;
    BlockCount kvBlocksTotal;
    /** Maximum number of concurrent requests while the upstream is cold. */
    std::uint32_t coldLimit = 1;
    /** Time of measurement on the local clock: the time of receipt less the known age of the report. */
    TimePoint measuredAt;
};

/** Configuration of an upstream from the host list, and its last load report. */
struct UpstreamState
{
    UpstreamId id;
    PoolId pool;
    RegionId region;
    FailureDomainId failureDomain;
    /** "IP:port". */
    std::string address;
    /** True if the host list marks the upstream as leaving. */
    bool isLeaving = false;
    LoadReport report;
};

}
