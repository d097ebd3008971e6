#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/UpstreamState.h>

#include <string>

namespace Lovageward {

/** Fetches load reports from upstreams. Thread-safe. */
class LoadProbe
{
public:
    virtual ~LoadProbe() = default;

    /**
     * Fetches the load report of the upstream at "IP:port". The report's measuredAt must not be later than the state that the
     * report describes: use the local time before the request was sent, less the age that the report states.
     * Throws Error(UpstreamUnavailable, UpstreamSilent, UpstreamConnectionLost or UpstreamError).
     */
    virtual LoadReport probe(const std::string &address, TimePoint deadline) = 0;
};

}
