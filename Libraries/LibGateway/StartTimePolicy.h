#pragma once

#include <LibGateway/EngineForecast.h>
#include <LibGateway/GatewayConfig.h>

#include <optional>

namespace Lovageward {

/** What decides when a request has to start. */
struct RequestTiming
{
    TimePoint arrivedAt;
    Duration targetLatency = Duration(0);
    /** Time until which the response has to be complete. */
    TimePoint deadline;
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    Footprint footprint;
};

/** Latest times at which a request can start at an engine. */
struct StartTimes
{
    /** The first event still meets the target. */
    TimePoint latestInTime;
    /** The response is still complete before the deadline. */
    TimePoint latestUseful;
};

enum class StartAction {
    /** Place the request at any engine with room. */
    Place,
    /** Until a stated time, place the request only at engines that stay fast enough for more urgent requests. */
    Hold,
    /** Reject the request, as not run. */
    Reject,
};

struct StartDecision
{
    StartAction action = StartAction::Place;
    /** With StartAction::Hold. */
    TimePoint holdUntil;
    /** Whether the request can still meet its target. */
    bool isInTime = false;
    StartTimes times;
    /** With StartAction::Reject; for the log. */
    const char *reason = "";
};

/**
 * Decides when a request may start. A long request with slack yields to more urgent ones until its latest start, because a delay that ends in time
 * costs its caller nothing, while the same delay makes the urgent request late. A request that can't meet its target any more is still placed while it
 * can finish. A request that can't finish is rejected at once, so that its caller has time left for another attempt. Load pattern: a burst of long
 * generations beside short urgent ones. Without state.
 */
class StartTimePolicy
{
public:
    StartTimes startTimes(const RequestTiming &request, const RunForecast &forecast) const;

    /**
     * `forecast` is the prediction for the best engine, `wait` the predicted time until it is the request's turn, `hasUrgentTraffic` whether more urgent
     * requests use the same engines.
     */
    StartDecision decide(TimePoint now, const RequestTiming &request, const RunForecast &forecast, Duration wait, bool hasUrgentTraffic) const;

    /** Whether requests like `urgent` take precedence over `request` at an engine: higher or equal priority, and a clearly earlier target. */
    static bool yieldsTo(const RequestTiming &request, const RequestTiming &urgent);

    /** The condition under which `request` may be placed in front of requests like `urgent`. */
    static FollowingRequest following(const RequestTiming &urgent);
};

}
