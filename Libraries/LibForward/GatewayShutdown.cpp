#include <LibForward/GatewayShutdown.h>

#include <thread>

namespace Lovageward {

namespace {

constexpr Duration checkInterval = milliseconds(20);

/** Time before the end at which the listening socket is closed at the latest, long enough to answer the requests of connections accepted until then. */
constexpr Duration lastConnectionMargin = milliseconds(300);

}

GatewayShutdown::GatewayShutdown(const Clock &clock, EventLog &events, DrainState &drain, GatewayServer &server)
    : clock(clock), events(events), drain(drain), server(server)
{
}

bool GatewayShutdown::run(TimePoint closeIdleAt, TimePoint endsAt)
{
    auto startedAt = this->clock.now();
    this->drain.begin(endsAt);
    this->events.write("stop",
                       { { "active", this->server.activeRequests() }, { "grace_ms", std::chrono::duration_cast<milliseconds>(endsAt - startedAt).count() } });
    bool hasClosedIdle = false;
    bool isAccepting = true;
    while (this->clock.now() < endsAt) {
        if (!hasClosedIdle && this->clock.now() >= closeIdleAt) {
            this->drain.closeIdleConnections();
            hasClosedIdle = true;
        }
        auto isIdle = hasClosedIdle && !this->server.hasUnfinishedWork();
        if (isIdle && !isAccepting) {
            break;
        }
        if (isAccepting && (isIdle || this->clock.now() + lastConnectionMargin >= endsAt)) {
            // A connection may be accepted until this returns, so the active requests are checked again.
            this->server.stopAccepting();
            isAccepting = false;
        }
        std::this_thread::sleep_for(checkInterval);
    }
    auto unfinished = this->server.activeRequests();
    this->events.write("stopped", { { "cut", unfinished } });
    return unfinished == 0;
}

}
