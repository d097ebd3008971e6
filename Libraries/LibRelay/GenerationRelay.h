#pragma once

#include <LibCore/Backoff.h>
#include <LibCore/Clock.h>
#include <LibCore/Logger.h>
#include <LibDispatch/Dispatcher.h>
#include <LibRelay/AnswerSink.h>
#include <LibRelay/DrainSignal.h>
#include <LibRelay/EngineClient.h>
#include <LibRelay/GenerationFollower.h>
#include <LibRelay/RelayCounters.h>
#include <LibRelay/RelayLimits.h>
#include <LibRelay/ResumeToken.h>
#include <LibRelay/Waiter.h>

#include <optional>
#include <string>

namespace Lovageward {

/** A request for a generation. */
struct RelayTask
{
    WorkItem item;
    /** Path and body for the engine. */
    std::string path;
    std::string body;
    int priority = 0;
    /** True if the answer is buffered until it is whole. */
    bool isHeld = false;
};

/**
 * Delivers one answer: places the request, starts the generation, follows it across lost connections and restarts it on another engine as long
 * as no token was sent. Tokens of two generations are never joined in one answer. An object serves one request.
 */
class GenerationRelay
{
public:
    GenerationRelay(const RelayDependencies &dependencies, Dispatcher &dispatcher, const RelayLimits &limits, Duration tokenLifetime, AnswerSink &sink);

    /** Answers a new request. Errors are reported to the sink. */
    void run(const RelayTask &task);

    /** Continues a generation that runs already, from the offset that the caller needs next. Errors are reported to the sink. */
    void resume(const ResumePoint &point, bool isHeld);

private:
    /** Starts and follows one generation. Returns true if the request has ended, false if it should be restarted. */
    bool attempt(const RelayTask &task, WorkItem &item, const Placement &placement, bool isLastAttempt);

    /** Ends the request if the caller is gone or the drain deadline has passed. Returns true if it ended. */
    bool abortBeforeStart(PlacementGuard &guard);

    /** Starts the generation and returns its connection, or null if it is unknown whether the generation runs. Throws Error if the start failed. */
    std::unique_ptr<EngineStream> startStream(const RelayTask &task, const GenerationTarget &target, const Placement &placement);

    bool finish(const GenerationFollower &follower, FollowResult result, PlacementGuard &guard);
    PlacementOutcome outcomeOfLastError() const;
    bool mayRestart(bool hasDelivered, bool isLastAttempt) const;
    /** Handles a caller that has disconnected: its generation is kept for the resume time if the caller can resume, and cancelled otherwise. */
    void handleCallerGone(const GenerationFollower &follower);
    void cancel(const GenerationTarget &target);
    void fail(const Error &error, const GenerationFollower *follower);
    void recordFailure(const Error &error);
    std::string sealToken(const GenerationTarget &target) const;

    RelayDependencies dependencies;
    Dispatcher &dispatcher;
    RelayLimits limits;
    Duration tokenLifetime;
    AnswerSink &sink;
    Backoff backoff;
    Logger logger;
    /** Whether the request has run, as far as all attempts together show. */
    RunState runState = RunState::NotRun;
    std::optional<Error> lastError;
};

}
