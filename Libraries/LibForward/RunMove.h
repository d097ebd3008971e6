#pragma once

#include <LibForward/UpstreamCall.h>
#include <LibGateway/ForwardProtocol.h>
#include <LibGateway/WorkPlacer.h>

#include <memory>

namespace Lovageward {

/**
 * Moves a run with its memory from one engine to another: the bulk is copied while the run goes on, then the run stops and the rest is copied.
 * Never waits; the relay asks step() when the descriptor is readable.
 */
class RunMove
{
public:
    enum class Stage {
        /** The run goes on at the source. */
        CopyingBulk,
        /** The run is stopped or about to stop; the source ends its stream. */
        CopyingRest,
        /** The run can be continued at the target. */
        Done,
        /** The run is stopped and can be continued only at the source. */
        StoppedAtSource,
        /** The run was not touched. */
        Failed,
    };

    /** `target` holds the room that is booked for the run. Throws Poco::Exception if the source can't be connected. */
    RunMove(const Clock &clock, const ForwardProtocol &protocol, const RequestId &request, const std::string &sourceAddress, PlacedRun target);

    Stage step();

    Stage stage() const
    {
        return this->current;
    }

    /** -1 if nothing is awaited. */
    int descriptor() const;

    /** Gives up after that; the transfer takes a second or two when several runs leave an engine together. */
    TimePoint deadline() const
    {
        return this->endsAt;
    }

    /** The time has passed or the relay needs the run's place at once. */
    void abandon();

    /** Names the copied memory. */
    RunMemory memory() const;

    PlacedRun &target()
    {
        return this->destination;
    }

    const std::string &problem() const
    {
        return this->failure;
    }

private:
    void begin(bool isLast);
    void finishCall();

    const Clock &clock;
    const ForwardProtocol &protocol;
    RequestId request;
    std::string sourceAddress;
    PlacedRun destination;
    std::unique_ptr<UpstreamCall> call;
    std::string handle;
    std::string failure;
    TimePoint endsAt;
    Stage current = Stage::CopyingBulk;
};

}
