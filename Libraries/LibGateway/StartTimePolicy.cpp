#include <LibGateway/StartTimePolicy.h>

#include <algorithm>

namespace Lovageward {

namespace {

/**
 * Part of the target latency kept in reserve for what the forecast doesn't know: prompts that other nodes send to the same engine, and transfer times.
 */
constexpr double targetReserve = 0.1;

/** Part of its target latency within which an urgent request must receive its first event behind the request that is placed before it. */
constexpr double urgentTargetShare = 0.8;

/** A request yields only to requests whose target latency is at most this part of its own, so that requests of one kind don't yield to each other. */
constexpr double urgentTargetRatio = 0.9;

/** The predicted run time is multiplied by this for the latest useful start, because outputs may be longer and engines slower than predicted. */
constexpr double completionReserve = 1.3;

Duration scale(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

}

StartTimes StartTimePolicy::startTimes(const RequestTiming &request, const RunForecast &forecast) const
{
    return StartTimes { request.arrivedAt + scale(request.targetLatency, 1 - targetReserve) - forecast.firstEvent,
                        request.deadline - scale(forecast.completion, completionReserve) };
}

StartDecision StartTimePolicy::decide(TimePoint now, const RequestTiming &request, const RunForecast &forecast, Duration wait, bool hasUrgentTraffic) const
{
    StartDecision decision;
    decision.times = this->startTimes(request, forecast);
    decision.isInTime = now <= decision.times.latestInTime;
    if (now > decision.times.latestUseful) {
        decision.action = StartAction::Reject;
        decision.reason = "the response can't be complete before the deadline";
    } else if (now + wait > decision.times.latestUseful) {
        decision.action = StartAction::Reject;
        decision.reason = "the wait for capacity would be too long";
    } else if (hasUrgentTraffic && decision.isInTime) {
        decision.action = StartAction::Hold;
        decision.holdUntil = std::min(decision.times.latestInTime, decision.times.latestUseful);
    }
    return decision;
}

bool StartTimePolicy::yieldsTo(const RequestTiming &request, const RequestTiming &urgent)
{
    return urgent.priority <= request.priority && urgent.targetLatency <= scale(request.targetLatency, urgentTargetRatio);
}

FollowingRequest StartTimePolicy::following(const RequestTiming &urgent)
{
    return FollowingRequest { urgent.footprint, scale(urgent.targetLatency, urgentTargetShare) };
}

}
