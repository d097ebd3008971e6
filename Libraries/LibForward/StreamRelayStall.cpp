#include <LibForward/StreamRelay.h>

namespace Lovageward {

// The part of StreamRelay that handles streams whose upstream is silent on an open connection. Such an upstream may be alive: an engine that runs out of
// memory pauses runs. So the call to it is given up only for another one.

namespace {

/** Time without an event after which a stream counts as stalled: its upstream is lost, or the engine has preempted the run. */
constexpr Duration stallTimeout = milliseconds(1500);

/** Time for which both calls stay open once the second upstream has accepted the run. Two engines must not execute one run for longer than 400 ms. */
constexpr Duration acceptedOverlap = milliseconds(300);

}

bool StreamRelay::isStalled() const
{
    auto canContinue = this->backup.has_value() || this->work.route->isResumable;
    auto now = this->dependencies.clock.now();
    return canContinue && this->timing.eventCount() > 0 && now - this->lastEventAt > stallTimeout && now >= this->nextStallCheckAt;
}

StreamRelay::StepResult StreamRelay::handleStall()
{
    if (this->migration) {
        return StepResult::Continue;
    }
    this->nextStallCheckAt = this->dependencies.clock.now() + stallTimeout;
    this->dependencies.health.recordFailure(this->placement.upstream.id, interruptionWeight);
    this->dependencies.events.write("run_stalled",
                                    { { "request", this->work.request.id.value() },
                                      { "upstream", this->placement.upstream.id.value() },
                                      { "events", this->timing.eventCount() },
                                      { "has_backup", this->backup.has_value() } });
    auto isQuarantined = this->dependencies.queriesOfDeath.findQuarantine(this->work.request.sharedPromptParts()).has_value();
    if (this->backup && !isQuarantined) {
        // The call stays open until the backup's engine has accepted the run.
        this->beginBackupTakeover();
    } else if (this->work.route->isResumable) {
        this->beginReplacement();
    }
    return StepResult::Continue;
}

void StreamRelay::beginReplacement()
{
    // The stalled call counts as an attempt once it is given up.
    if (this->retryState.possibleRuns + 1 >= this->work.route->maximumAttempts) {
        return;
    }
    this->retryState.excludedUpstreams.push_back(this->placement.upstream.id);
    try {
        auto opened = this->dialer.open(this->work, this->retryState, this->makeOptions(), this->caller);
        this->replacement = Replacement { std::move(opened), this->timing.eventCount(), std::nullopt, this->dependencies.clock.now() + stallTimeout };
    } catch (const Error &error) {
        this->dependencies.events.write("not_continued", { { "request", this->work.request.id.value() }, { "reason", error.what() } });
    }
}

StreamRelay::StepResult StreamRelay::advanceReplacement()
{
    if (this->timing.eventCount() > this->replacement->eventsBefore) {
        this->abortReplacement("the upstream goes on");
        return StepResult::Continue;
    }
    auto &attempt = this->replacement->attempt;
    auto state = attempt.call->advance();
    if (attempt.call->hasHead()) {
        auto metadata = this->inspector.inspect(this->work.request.id, attempt.placement.upstream, *attempt.call);
        auto isOwnResponse = metadata.requestId == this->work.request.id;
        if (attempt.call->head().status != okStatus || !metadata.hasServerStamp || !isOwnResponse) {
            this->retryState.possibleRuns += metadata.hasNotRun || metadata.isInstanceMismatch ? 0 : 1;
            this->dependencies.health.recordFailure(attempt.placement.upstream.id, refusalWeight);
            this->abortReplacement("the other upstream can't continue the run");
            return StepResult::Continue;
        }
    }
    if (state == UpstreamCall::State::Failed) {
        ++this->retryState.possibleRuns;
        this->dependencies.health.recordFailure(attempt.placement.upstream.id, interruptionWeight);
        this->outcomes.recordFailure(this->work.request, attempt.placement.upstream, *attempt.call);
        this->abortReplacement(attempt.call->failureReason());
        return StepResult::Continue;
    }
    if (!attempt.call->hasHead()) {
        // A request that waits at the other upstream, or is refused later, is no reason to end a run that may go on.
        this->abandonSilentReplacement();
        return StepResult::Continue;
    }
    auto now = this->dependencies.clock.now();
    if (!this->replacement->commitAt) {
        this->replacement->commitAt = now + acceptedOverlap;
    }
    if (attempt.call->body().empty() && now < *this->replacement->commitAt) {
        return StepResult::Continue;
    }
    this->commitReplacement();
    return StepResult::Reopened;
}

void StreamRelay::abandonSilentReplacement()
{
    // Without a further attempt, whichever of the two goes on first has the stream.
    auto canTryAnother = this->retryState.possibleRuns + 2 < this->work.route->maximumAttempts;
    if (canTryAnother && this->dependencies.clock.now() >= this->replacement->nextAttemptAt) {
        ++this->retryState.possibleRuns;
        this->dependencies.health.recordFailure(this->replacement->attempt.placement.upstream.id, interruptionWeight);
        this->abortReplacement("the other upstream did not respond in time");
    }
}

void StreamRelay::commitReplacement()
{
    this->call->cancel();
    ++this->retryState.possibleRuns;
    auto attempt = std::move(this->replacement->attempt);
    this->replacement.reset();
    this->dependencies.events.write("run_replaced",
                                    { { "request", this->work.request.id.value() },
                                      { "from", this->placement.upstream.id.value() },
                                      { "to", attempt.placement.upstream.id.value() },
                                      { "events", this->timing.eventCount() } });
    this->backup.reset();
    this->switchToCall(std::move(attempt.placement), std::move(attempt.call));
}

void StreamRelay::abortReplacement(const std::string &reason)
{
    auto &attempt = this->replacement->attempt;
    this->dependencies.events.write(
        "replacement_ended", { { "request", this->work.request.id.value() }, { "upstream", attempt.placement.upstream.id.value() }, { "reason", reason } });
    attempt.call->cancel();
    this->retryState.excludedUpstreams.push_back(attempt.placement.upstream.id);
    this->replacement.reset();
}

}
