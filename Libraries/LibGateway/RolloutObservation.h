#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/RolloutEvidence.h>
#include <LibGateway/UpstreamRecord.h>

#include <cstdint>

namespace Lovageward {

/** A request at an upstream of a pool that has a running roll-out. */
struct ObservedRun
{
    PoolId pool;
    RolloutOrderId order;
    RouteId route;
    UpstreamId upstream;
    RolloutSide side = RolloutSide::Baseline;
    /** False if the upstream was cold when the request was sent: slow responses are usual then. */
    bool judgesLatency = true;
    TimePoint sentAt;
};

/** Receives the outcomes of observed runs. */
class RolloutRecorder
{
public:
    virtual ~RolloutRecorder() = default;

    virtual void recordStart(const ObservedRun &run, Duration latency) = 0;
    virtual void recordPace(const ObservedRun &run, Duration interval) = 0;
    /** `isConnectionLost` is true if the upstream closed the connection, as it does for all its runs when it crashes. */
    virtual void recordFailure(const ObservedRun &run, bool isConnectionLost) = 0;
    virtual void recordAbandoned(const ObservedRun &run, Duration waited) = 0;
};

/**
 * Reports how one run at an upstream goes, as evidence about the upstream's version. Destruction without an outcome means that the caller has left. Not
 * thread-safe.
 */
class RolloutObservation
{
public:
    RolloutObservation(const Clock &clock, RolloutRecorder &recorder, ObservedRun run);
    ~RolloutObservation();

    RolloutObservation(const RolloutObservation &) = delete;
    RolloutObservation &operator=(const RolloutObservation &) = delete;

    /** A complete response, or an event of a stream, has arrived. */
    void recordEvent();
    void recordFailure(bool isConnectionLost);
    /** The upstream has refused the request without running it, or the run was moved to another upstream. Says nothing of the version. */
    void discard();

private:
    const Clock &clock;
    RolloutRecorder &recorder;
    ObservedRun run;
    std::uint64_t events = 0;
    TimePoint firstEventAt;
    bool isEnded = false;
};

}
