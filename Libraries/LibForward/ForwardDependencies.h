#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/EventLog.h>
#include <LibCore/MemoryAccount.h>
#include <LibCore/RandomSource.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ResponseLimits.h>
#include <LibGateway/ConfigHolder.h>
#include <LibGateway/ForwardProtocol.h>
#include <LibGateway/OutputLengthPredictor.h>
#include <LibGateway/PoolRetryBudgets.h>
#include <LibGateway/QueryOfDeathDetector.h>
#include <LibGateway/RequestPlacer.h>
#include <LibGateway/StatedRateLimits.h>
#include <LibGateway/UpstreamHealth.h>
#include <LibGateway/UpstreamRefusals.h>
#include <LibGateway/UpstreamRegistry.h>
#include <LibGateway/UpstreamSpeedTracker.h>
#include <LibGateway/WaitOrder.h>
#include <LibGateway/WaitingRequests.h>

namespace Lovageward {

/** Receives local changes that are advertised to peers without delay. */
class PlacementListener
{
public:
    virtual ~PlacementListener() = default;

    /** The load that this node places on upstreams has changed: a request was placed, its prompt was processed, or it ended. */
    virtual void loadChanged() = 0;

    /** An upstream has reported a load that peers need without delay. */
    virtual void upstreamLoadReported() = 0;

    /** A call has shown that an upstream shuts down or has crashed, or that its rate limit has changed. */
    virtual void upstreamNoticeReceived() = 0;
};

/** Dependencies of request forwarding. All references must outlive the connections. */
struct ForwardDependencies
{
    const Clock &clock;
    RandomSource &random;
    EventLog &events;
    Counters &counters;
    const ConfigHolder &config;
    UpstreamRegistry &registry;
    RequestPlacer &placer;
    TokenTimeTracker &tokenTimes;
    UpstreamHealth &health;
    UpstreamRefusals &refusals;
    StatedRateLimits &rateLimits;
    QueryOfDeathDetector &queriesOfDeath;
    UpstreamSpeedTracker &speeds;
    PoolRetryBudgets &retries;
    OutputLengthPredictor &outputLengths;
    const ForwardProtocol &protocol;
    const DrainState &drain;
    /** Notified of placements and of notices in responses, which peers must learn of without delay. */
    PlacementListener &placementListener;
    ResponseLimits responseLimits;
    MemoryAccount &memory;
    ConnectionLimits connectionLimits;
    /** Used with WaitOrder::Deadline only. */
    WaitingRequests &waitingRequests;
    WaitOrder waitOrder = WaitOrder::Arrival;
    /** The callers' listening address in the account of memory. */
    ListenerId listener = {};
};

}
