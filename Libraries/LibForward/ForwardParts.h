#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibCore/RandomSource.h>
#include <LibForward/CallerChannel.h>
#include <LibGateway/ConfigHolder.h>
#include <LibGateway/ForwardProtocol.h>
#include <LibGateway/OutputForecast.h>
#include <LibGateway/RetryAllowance.h>
#include <LibGateway/UpstreamHealth.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibGateway/WorkPlacer.h>

namespace Lovageward {

/** Learns that this node's load has changed: work was placed, its prompt was read, or it ended. */
class PlacementListener
{
public:
    virtual ~PlacementListener() = default;
    virtual void loadChanged() = 0;
};

/** What the forwarding of requests works with. All references outlive the connections. */
struct ForwardParts
{
    const Clock &clock;
    RandomSource &random;
    EventLog &events;
    Counters &counters;
    const ConfigHolder &config;
    const UpstreamRegistry &registry;
    WorkPlacer &placer;
    UpstreamHealth &health;
    RetryAllowance &retries;
    OutputForecast &forecast;
    const ForwardProtocol &protocol;
    const DrainNotice &drain;
    /** Told when work was placed, so that peers learn of it at once. */
    PlacementListener &placements;
};

}
