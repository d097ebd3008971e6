#include <LibForward/UnaryForwarder.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Multiple of the target latency after which an attempt that can be retried times out, early enough for a retry to meet most callers' deadlines. */
constexpr int attemptTargetLatencies = 3;

/** Longest interval between checks whether the process is about to exit. */
constexpr Duration shutdownCheckInterval = milliseconds(100);

constexpr int firstServerErrorStatus = 500;
constexpr int firstClientErrorStatus = 400;

// Weights of failures for UpstreamHealth. A refusal says less about an upstream's health than an error or an interrupted response.
constexpr double refusalWeight = 0.5;
constexpr double errorWeight = 1;
constexpr double interruptionWeight = 1.5;

}

std::string_view UnaryForwarder::attemptResultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Responded:
        return "answered";
    case AttemptResult::NotRun:
        return "not_run";
    case AttemptResult::Failed:
        return "broken";
    case AttemptResult::TimedOut:
        return "timed_out";
    case AttemptResult::TooLargeToBuffer:
        break;
    }
    return "passed_on";
}

void UnaryForwarder::observe(const UpstreamAttempt &attempt, AttemptResult result)
{
    auto *observation = attempt.placement.observation.get();
    if (observation == nullptr) {
        return;
    }
    if (result == AttemptResult::NotRun) {
        observation->discard();
        return;
    }
    auto hasResponse = result == AttemptResult::Responded || result == AttemptResult::TooLargeToBuffer;
    if (hasResponse && attempt.call->head().status < firstServerErrorStatus) {
        observation->recordEvent();
    } else {
        observation->recordFailure(!hasResponse && attempt.call->hasConnectionEnded());
    }
}

ForwardOutcome UnaryForwarder::forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive) const
{
    RetryState retryState;
    std::optional<BufferedResponse> lastErrorResponse;
    std::optional<Error> lastError;
    while (true) {
        std::optional<UpstreamAttempt> attempt;
        try {
            attempt = this->dialer.open(work, retryState, ForwardOptions(), caller);
        } catch (const Error &error) {
            if (lastErrorResponse) {
                return this->sendBuffered(*lastErrorResponse, caller, isKeepAlive);
            }
            throw retryState.possibleRuns > 0 && lastError ? *lastError : error;
        }
        auto result = this->awaitResponse(work, *attempt, this->attemptDeadline(work, retryState), caller);
        const auto &upstream = attempt->placement.upstream.id;
        retryState.excludedUpstreams.push_back(upstream);
        observe(*attempt, result);
        if (result == AttemptResult::NotRun) {
            this->dependencies.health.recordFailure(upstream, refusalWeight);
            continue;
        }
        if (result == AttemptResult::TooLargeToBuffer) {
            return this->sendProgressively(work, *attempt, caller, isKeepAlive);
        }
        ++retryState.possibleRuns;
        auto isLastAttempt = !this->mayRetry(work, retryState);
        if (result == AttemptResult::Responded) {
            auto isError = attempt->call->head().status >= firstServerErrorStatus;
            if (!isError) {
                this->dependencies.health.recordSuccess(upstream);
                this->recordSuccessfulRun(work, *attempt);
            } else {
                this->dependencies.health.recordFailure(upstream, errorWeight);
            }
            BufferedResponse response { attempt->call->head(), std::move(attempt->call->body()) };
            if (!isError || isLastAttempt) {
                return this->sendBuffered(response, caller, isKeepAlive);
            }
            lastErrorResponse = std::move(response);
            continue;
        }
        this->dependencies.health.recordFailure(upstream, interruptionWeight);
        auto code = result == AttemptResult::TimedOut ? ResultCode::UpstreamSilent : ResultCode::UpstreamConnectionLost;
        lastError
            = Error(code, RunState::Unknown, attempt->call->failureReason().empty() ? "the upstream did not respond in time" : attempt->call->failureReason());
        if (isLastAttempt) {
            throw *lastError;
        }
    }
}

UnaryForwarder::AttemptResult
UnaryForwarder::awaitResponse(const AdmittedRequest &work, UpstreamAttempt &attempt, TimePoint attemptDeadline, CallerChannel &caller) const
{
    auto &call = *attempt.call;
    while (true) {
        auto state = call.advance();
        if (state == UpstreamCall::State::Complete || state == UpstreamCall::State::Failed || call.isBodyBufferFull()) {
            auto result = this->classifyResponse(work, attempt);
            this->recordAttempt(work, attempt, attemptResultName(result));
            return result;
        }
        auto now = this->dependencies.clock.now();
        if (now >= this->dependencies.drain.limitDeadline(attemptDeadline)) {
            call.cancel();
            this->dependencies.events.write("attempt_timeout",
                                            { { "request", work.request.id.value() }, { "upstream", attempt.placement.upstream.id.value() } });
            return AttemptResult::TimedOut;
        }
        DescriptorPoller poller;
        auto callerIndex = poller.add(caller.descriptor());
        poller.add(call.descriptor());
        poller.wait(this->dependencies.clock, std::min<TimePoint>(attemptDeadline, now + shutdownCheckInterval));
        if (poller.isReadable(callerIndex) && caller.isDisconnected()) {
            call.cancel();
            throw CallerDisconnected();
        }
    }
}

UnaryForwarder::AttemptResult UnaryForwarder::classifyResponse(const AdmittedRequest &work, const UpstreamAttempt &attempt) const
{
    const auto &call = *attempt.call;
    if (!call.hasHead()) {
        return AttemptResult::Failed;
    }
    auto metadata = this->inspector.inspect(work.request.id, attempt.placement.upstream, call);
    if (metadata.requestId != work.request.id && !metadata.requestId.isEmpty()) {
        return AttemptResult::Failed;
    }
    if (metadata.hasNotRun || metadata.isInstanceMismatch) {
        return AttemptResult::NotRun;
    }
    auto isSuccess = call.head().status < firstClientErrorStatus;
    auto isValid = !isSuccess || metadata.hasServerStamp;
    if (isValid && call.state() == UpstreamCall::State::Receiving) {
        return AttemptResult::TooLargeToBuffer;
    }
    return isValid && call.state() == UpstreamCall::State::Complete ? AttemptResult::Responded : AttemptResult::Failed;
}

void UnaryForwarder::recordAttempt(const AdmittedRequest &work, const UpstreamAttempt &attempt, std::string_view result) const
{
    const auto &call = *attempt.call;
    this->inspector.countExceededLimit(call);
    if (call.state() == UpstreamCall::State::Failed) {
        this->outcomes.recordFailure(work.request, attempt.placement.upstream, call);
    }
    this->dependencies.events.write("answer",
                                    { { "request", work.request.id.value() },
                                      { "upstream", attempt.placement.upstream.id.value() },
                                      { "status", call.hasHead() ? call.head().status : 0 },
                                      { "ending", result },
                                      { "problem", call.failureReason() } });
}

void UnaryForwarder::recordSuccessfulRun(const AdmittedRequest &work, const UpstreamAttempt &attempt) const
{
    if (attempt.call->head().status < firstClientErrorStatus) {
        this->outcomes.recordSuccess(work.request);
    }
}

ForwardOutcome UnaryForwarder::sendBuffered(const BufferedResponse &response, CallerChannel &caller, bool isKeepAlive) const
{
    auto isSent = caller.sendResponse(forwardedHead(response.head), response.body, isKeepAlive);
    return isSent ? ForwardOutcome::Complete : ForwardOutcome::Truncated;
}

ForwardOutcome UnaryForwarder::sendProgressively(const AdmittedRequest &work, UpstreamAttempt &attempt, CallerChannel &caller, bool isKeepAlive) const
{
    auto &call = *attempt.call;
    auto isConnected = caller.beginStream(forwardedHead(call.head()), isKeepAlive);
    while (isConnected) {
        isConnected = caller.sendChunk(call.body());
        call.body().clear();
        if (call.state() != UpstreamCall::State::Receiving) {
            break;
        }
        DescriptorPoller poller;
        auto callerIndex = poller.add(caller.descriptor());
        poller.add(call.descriptor());
        auto isInTime = poller.wait(this->dependencies.clock, work.deadline) && this->dependencies.clock.now() < work.deadline;
        isConnected = isConnected && isInTime && !(poller.isReadable(callerIndex) && caller.isDisconnected());
        call.advance();
    }
    auto isComplete = isConnected && call.state() == UpstreamCall::State::Complete;
    this->recordAttempt(work, attempt, isComplete ? "passed_on_whole" : "passed_on_in_part");
    if (call.state() == UpstreamCall::State::Failed) {
        this->dependencies.health.recordFailure(attempt.placement.upstream.id, interruptionWeight);
    } else if (isComplete) {
        this->dependencies.health.recordSuccess(attempt.placement.upstream.id);
        this->recordSuccessfulRun(work, attempt);
    }
    call.cancel();
    return isComplete && caller.endStream() ? ForwardOutcome::Complete : ForwardOutcome::Truncated;
}

TimePoint UnaryForwarder::attemptDeadline(const AdmittedRequest &work, const RetryState &retryState) const
{
    auto isLastAttempt = work.route->executionSemantics == ExecutionSemantics::AtMostOnce || retryState.possibleRuns + 1 >= work.route->maximumAttempts;
    if (isLastAttempt) {
        return work.deadline;
    }
    return std::min(work.deadline, this->dependencies.clock.now() + attemptTargetLatencies * work.route->targetLatency);
}

bool UnaryForwarder::mayRetry(const AdmittedRequest &work, const RetryState &retryState) const
{
    auto isIdempotent = work.route->executionSemantics == ExecutionSemantics::Idempotent;
    return isIdempotent && retryState.possibleRuns < work.route->maximumAttempts
        && this->dependencies.clock.now() < this->dependencies.drain.limitDeadline(work.deadline);
}

}
