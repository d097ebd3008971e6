#pragma once

#include <LibForward/RunMove.h>
#include <LibForward/StreamForwarder.h>
#include <LibForward/UpstreamDialer.h>
#include <LibGateway/EventSequence.h>

#include <memory>
#include <optional>

namespace Lovageward {

/** Forwards one stream: the state of one request while it runs, is moved, or is continued from a copy of its memory. */
class StreamRelay
{
public:
    StreamRelay(const ForwardParts &parts, const UpstreamDialer &dialer, const AdmittedWork &work, CallerChannel &caller, bool keepsOpen);

    /** See StreamForwarder::forward. */
    StreamEnd run();

private:
    /** What becomes of the stream after a step. */
    enum class Step {
        GoOn,
        /** The request was sent to an upstream once more; what was known of the last call is void. */
        Reopened,
        Complete,
        CutOff,
    };

    void openFirst();
    Step step();
    void awaitChange();
    /** Judges the head of a call and prepares the answer. */
    Step takeHead();
    Step forwardEvents();
    Step takeWholeAnswer();
    Step finishCall();
    /** Continues a run whose upstream broke off, if something allows it. */
    Step recover(const std::string &reason);
    bool continueFromCopy();
    bool continueElsewhere();
    Step checkLeaving();
    void beginMove();
    Step stepMove();
    bool continueAt(PlacedRun place, const RunMemory &memory);
    void bookBackup(ForwardTerms &terms, const UpstreamRecord &runner);
    ForwardTerms baseTerms() const;
    bool sendEvent(const WholeEvent &event);
    bool isSilent() const;
    Error brokenError(const std::string &reason) const;

    const ForwardParts &parts;
    const UpstreamDialer &dialer;
    const AdmittedWork &work;
    CallerChannel &caller;
    bool keepsOpen;

    AttemptState attempts;
    PlacedRun place;
    std::unique_ptr<UpstreamCall> call;
    /** Upstream that keeps a copy of the run's memory, with the room booked for it. */
    std::optional<PlacedRun> backup;
    std::unique_ptr<RunMove> move;
    EventSequence events;
    /** The head of the current call was judged. */
    bool hasJudgedHead = false;
    /** The caller got the head of the answer. */
    bool hasBegun = false;
    std::uint64_t eventsSent = 0;
    TimePoint lastEventAt;
    bool hasTriedMove = false;
    /** Since when the upstream is known to leave. */
    std::optional<TimePoint> leavingSince;
};

}
