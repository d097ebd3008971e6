#pragma once

#include <LibCore/MemoryReservation.h>
#include <LibForward/ResponseInspector.h>
#include <LibForward/RunMigration.h>
#include <LibForward/RunOutcomeRecorder.h>
#include <LibForward/StreamForwarder.h>
#include <LibForward/StreamTiming.h>
#include <LibForward/UpstreamDialer.h>
#include <LibGateway/EventStreamParser.h>
#include <LibGateway/TokenTimeSampler.h>

#include <memory>
#include <optional>

namespace Lovageward {

/** State machine that forwards one stream while its run is executed, migrated to another engine, or continued from a copy of its memory. */
class StreamRelay
{
public:
    StreamRelay(const ForwardDependencies &dependencies, const UpstreamDialer &dialer, const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive);

    /** See StreamForwarder::forward. */
    ForwardOutcome run();

private:
    static constexpr int okStatus = 200;

    // Weights of failures for UpstreamHealth. A refusal says less about an upstream's health than an interrupted run.
    static constexpr double refusalWeight = 0.5;
    static constexpr double interruptionWeight = 1.5;

    /** State of the stream after a step. */
    enum class StepResult {
        Continue,
        /** The request was sent to an upstream again, so the state of the previous call no longer applies. */
        Reopened,
        Complete,
        Truncated,
    };

    void openCall();
    StepResult step();
    void awaitActivity();
    /** Validates the response head of the current call. */
    StepResult processHead();
    StepResult forwardEvents();
    StepResult handleErrorResponse();
    StepResult handleCallEnd();
    /** Whether the call has ended, and the stream with it. */
    bool isStreamComplete() const;
    /** Handles an interrupted call: continues the run from its backup copy or by resuming it, if that is possible. */
    StepResult recover(const std::string &reason);
    bool continueFromBackup();
    bool resumeOnAnotherUpstream();
    /** Records a failure as evidence about the version of the upstream. */
    void observeFailure(bool isConnectionLost);
    /** Migrates the run to the version that replaces the one of its upstream. */
    StepResult handleReplacement();
    StepResult handleUpstreamLeaving();
    /** Asks the backup to continue the run while the run is still active at its engine, because the backup copy may be missing. */
    bool beginBackupTakeover();
    bool beginTakeover(PlacedRun target, const KvCacheLocation &memory, bool isBackup);
    StepResult advanceTakeover();
    void abortTakeover(const std::string &reason);
    void switchToCall(PlacedRun newPlacement, std::unique_ptr<UpstreamCall> newCall);
    void beginMigration();
    void advanceMigration();
    bool continueOn(PlacedRun placement, const KvCacheLocation &memory);
    std::optional<PlacedRun> reserveBackup(ForwardOptions &options, const UpstreamRecord &runner);
    ForwardOptions makeOptions() const;
    bool sendEvent(const StreamEvent &event);
    /** Reserves memory so that the received bytes can join the unfinished event. Returns false if there is none. */
    bool reserveEvent();
    /** Leaves the rest of the event to the kernel until there is memory for it, and ends the call if there is none in time. */
    StepResult awaitEventMemory();
    void discardPartialEvent();
    bool isStalled() const;
    /** Offers the run to its backup or to another upstream. The stalled upstream may still go on meanwhile. */
    StepResult handleStall();
    /** Opens a second call that resumes the stream at another upstream, if attempts, retry budget and capacity allow it. */
    void beginReplacement();
    /** Decides between the stalled call and its replacement. */
    StepResult advanceReplacement();
    /** Gives up a second call without response if another upstream can be tried. */
    void abandonSilentReplacement();
    /** Gives the stalled call up, so that the stream goes on from its replacement. */
    void commitReplacement();
    void abortReplacement(const std::string &reason);
    /** Updates the load estimate and the engine's token rate with the tokens that the run has produced. */
    void reportProgress();
    void recordOutputLength();
    Error interruptedError(const std::string &reason) const;

    const ForwardDependencies &dependencies;
    ResponseInspector inspector;
    RunOutcomeRecorder outcomes;
    const UpstreamDialer &dialer;
    const AdmittedRequest &work;
    CallerChannel &caller;
    bool isKeepAlive;

    RetryState retryState;
    PlacedRun placement;
    std::unique_ptr<UpstreamCall> call;
    /** Upstream that keeps a copy of the run's memory, with the capacity reserved for it. */
    std::optional<PlacedRun> backup;
    std::unique_ptr<RunMigration> migration;
    /** Targets to which a migration of the run was tried. */
    std::vector<UpstreamId> triedTargets;
    /** Attempt to continue the run from a copy of its memory while the run is still active at its engine. */
    struct Takeover
    {
        PlacedRun placement;
        std::unique_ptr<UpstreamCall> call;
        std::optional<PlacedRun> nextBackup;
        /** True for the backup copy of the run, false for a copy made by a migration. */
        bool isBackup = false;
        TimePoint deadline;
    };
    std::optional<Takeover> takeover;
    /** Earliest time of the next takeover attempt with the backup. */
    TimePoint nextTakeoverAt;
    std::size_t backupTakeoverAttempts = 0;
    /** Second call that resumes the stalled stream at another upstream, while the first one may still go on. */
    struct Replacement
    {
        UpstreamAttempt attempt;
        /** Events that the caller had received when it was opened. */
        std::uint64_t eventsBefore = 0;
        /** Time at which the stalled call is given up for the second one; set once the second upstream has accepted the run. */
        std::optional<TimePoint> commitAt;
        /** Time at which a further upstream is tried if the second one hasn't responded. */
        TimePoint nextAttemptAt;
    };
    std::optional<Replacement> replacement;
    /** Earliest time at which the stalled stream is handled again. */
    TimePoint nextStallCheckAt;
    EventStreamParser events;
    /** Memory of the unfinished event. */
    MemoryReservation eventMemory;
    /** Time at which the call is ended unless there is memory for its event by then; set while there is none. */
    std::optional<TimePoint> eventMemoryDeadline;
    /** The response head of the current call was validated. */
    bool hasProcessedHead = false;
    /** The response head was sent to the caller. */
    bool hasSentHead = false;
    /** Events that were sent to the caller before the current call. */
    std::uint64_t eventsBeforeCall = 0;
    StreamTiming timing;
    /** The run has produced output for long enough to count as a success of its prompt. */
    bool hasProvenSound = false;
    /** Measures the token rate of the engine that executes the run. */
    std::optional<TokenTimeSampler> tokenTimeSampler;
    /** Time of the last event, or of the start of the current call if it has sent none. */
    TimePoint lastEventAt;
    /** Time at which the upstream was found to be leaving. */
    std::optional<TimePoint> leavingSince;
    /** Time of the next attempt to migrate the run because a roll-out replaces the version of its upstream. */
    std::optional<TimePoint> replacementDueAt;
};

}
