#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EventLog.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/GatewayServer.h>

namespace Lovageward {

/**
 * The planned stop of a gateway: it answers the requests that it has accepted and those that still arrive, and then stops accepting connections. Load
 * pattern: callers that use their connections, and reconnect, until the process is gone.
 */
class GatewayShutdown
{
public:
    GatewayShutdown(const Clock &clock, EventLog &events, DrainState &drain, GatewayServer &server);

    /**
     * Returns once no request is active and none can arrive any more, at the latest at `endsAt`. Returns false if requests are active even then. Idle
     * connections are closed at `closeIdleAt`, when the load balancer no longer sends new ones. To be called once.
     */
    bool run(TimePoint closeIdleAt, TimePoint endsAt);

private:
    const Clock &clock;
    EventLog &events;
    DrainState &drain;
    GatewayServer &server;
};

}
