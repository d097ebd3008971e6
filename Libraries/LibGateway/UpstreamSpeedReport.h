#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Lovageward {

/** The newest load that an upstream process has reported in a response, as nodes report it to each other. */
struct UpstreamSpeedReport
{
    /** LoadTracker::hashUpstreamId of the upstream, equal on all nodes. */
    std::uint64_t upstreamHash = 0;
    /** Identifies the process; see hashBootId(). */
    std::uint32_t bootHash = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** How long work currently takes, in percent of the usual time; nullopt if the upstream doesn't report it. */
    std::optional<std::uint32_t> slowness;
    /** Time since the response arrived at the node that received it. */
    Duration age = Duration(0);
    /** The response arrived in another failure domain than that of the digest's sender. Relays don't forward it to other domains. */
    bool isFromOtherDomain = false;

    bool operator==(const UpstreamSpeedReport &) const = default;
};

/** Largest figure of a report. Upstreams have tens of slots, and a slowness of 10,000 percent is 100 times the usual time. */
inline constexpr std::uint32_t maximumReportedFigure = 10'000;

}
