#include <LibForward/StreamRelay.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Longest interval between checks whether the upstream is leaving. */
constexpr Duration leaveCheckInterval = milliseconds(100);

/** Interval between two attempts to reserve memory for an event. */
constexpr Duration memoryCheckInterval = milliseconds(15);

/** Bytes of an unfinished event that the charge of the caller's connection covers. */
constexpr std::size_t unreservedEventBytes = 16'384;

/** Step in which the memory of an unfinished event grows at least. */
constexpr std::size_t eventMemoryStep = 65'536;

/** Time for which a run has to produce output before it counts as evidence that its prompt doesn't crash engines. */
constexpr Duration soundOutputTime = seconds(2);

// Urgency of generations, derived from the request's priority. Engines admit the more urgent ones first and never preempt them for less urgent ones.
constexpr std::uint32_t urgencyOfHighestPriority = 3;
constexpr std::uint32_t lowestUrgency = 9;

constexpr int firstServerErrorStatus = 500;

}

StreamRelay::StreamRelay(
    const ForwardDependencies &dependencies, const UpstreamDialer &dialer, const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive)
    : dependencies(dependencies)
    , inspector(dependencies)
    , outcomes(dependencies)
    , dialer(dialer)
    , work(work)
    , caller(caller)
    , isKeepAlive(isKeepAlive)
    , events(dependencies.responseLimits.eventBytes)
    , eventMemory(dependencies.memory, MemoryPurpose::Event)
    , timing(dependencies.clock, work.request.arrivedAt)
{
    if (work.request.lastEventId) {
        this->events.continueAfter(*work.request.lastEventId);
    }
}

ForwardOutcome StreamRelay::run()
{
    this->openCall();
    while (true) {
        auto outcome = this->step();
        if (outcome == StepResult::Reopened) {
            continue;
        }
        if (outcome == StepResult::Continue) {
            this->awaitActivity();
            continue;
        }
        if (this->replacement) {
            this->abortReplacement("the stream has ended");
        }
        this->dependencies.events.write("stream_end",
                                        { { "request", this->work.request.id.value() },
                                          { "upstream", this->placement.upstream.id.value() },
                                          { "events", this->timing.eventCount() },
                                          { "whole", outcome == StepResult::Complete },
                                          { "first_ms", this->timing.timeToFirstEvent() / milliseconds(1) },
                                          { "longest_pause_ms", this->timing.longestPause() / milliseconds(1) },
                                          { "pause_before_event", this->timing.eventAfterLongestPause() } });
        return outcome == StepResult::Complete ? ForwardOutcome::Complete : ForwardOutcome::Truncated;
    }
}

ForwardOptions StreamRelay::makeOptions() const
{
    ForwardOptions options;
    if (this->work.pool->engine) {
        options.urgency = std::min(urgencyOfHighestPriority + this->work.priority, lowestUrgency);
    }
    options.lastEventId = this->events.lastId();
    return options;
}

std::optional<PlacedRun> StreamRelay::reserveBackup(ForwardOptions &options, const UpstreamRecord &runner)
{
    auto keepsBackup = this->work.pool->engine && this->work.pool->engine->supportsStandbyCopies && !this->work.route->isResumable;
    if (!keepsBackup) {
        return std::nullopt;
    }
    auto result = this->dependencies.placer.placeCopy(this->dialer.placementNeed(this->work, RetryState()), runner, CopyPurpose::Standby);
    if (result.outcome != PickOutcome::Picked) {
        return std::nullopt;
    }
    this->dependencies.placementListener.loadChanged();
    options.backupAddress = result.run.upstream.address;
    return std::move(result.run);
}

void StreamRelay::openCall()
{
    auto reserve = [this](ForwardOptions &options, const UpstreamRecord &runner) { this->backup = this->reserveBackup(options, runner); };
    auto opened = this->dialer.open(this->work, this->retryState, this->makeOptions(), this->caller, reserve);
    this->placement = std::move(opened.placement);
    this->call = std::move(opened.call);
    this->tokenTimeSampler.emplace(this->dependencies.clock, this->dependencies.tokenTimes, this->placement.upstream.id);
    this->lastEventAt = this->dependencies.clock.now();
}

StreamRelay::StepResult StreamRelay::step()
{
    if (this->takeover) {
        // Events of the current call aren't forwarded meanwhile, because the stream must continue from one upstream only.
        auto outcome = this->advanceTakeover();
        if (outcome != StepResult::Continue || this->takeover) {
            return outcome;
        }
    }
    if (this->migration) {
        this->advanceMigration();
        if (this->takeover) {
            return StepResult::Continue;
        }
    }
    auto state = this->call->advance();
    if (this->call->hasHead() && !this->hasProcessedHead) {
        auto outcome = this->processHead();
        if (outcome != StepResult::Continue) {
            return outcome;
        }
    }
    if (this->hasProcessedHead && this->call->head().status != okStatus) {
        auto isIncomplete = state == UpstreamCall::State::Receiving && !this->call->isBodyBufferFull() && this->dependencies.clock.now() < this->work.deadline;
        return isIncomplete ? StepResult::Continue : this->handleErrorResponse();
    }
    if (this->hasProcessedHead) {
        auto outcome = this->forwardEvents();
        if (outcome != StepResult::Continue) {
            return outcome;
        }
    }
    if ((state == UpstreamCall::State::Complete || state == UpstreamCall::State::Failed) && !this->eventMemoryDeadline) {
        return this->handleCallEnd();
    }
    // A stream that has begun may go on until the process exits.
    auto deadline = this->hasSentHead ? this->work.deadline : this->dependencies.drain.limitDeadline(this->work.deadline);
    if (this->dependencies.clock.now() >= deadline) {
        this->call->cancel();
        if (this->timing.eventCount() == this->eventsBeforeCall) {
            this->observeFailure(false);
        }
        if (!this->hasSentHead) {
            throw Error(ResultCode::DeadlineExceeded, RunState::Unknown, "the upstream did not respond in time");
        }
        return StepResult::Truncated;
    }
    if (this->replacement) {
        return this->advanceReplacement();
    }
    return this->isStalled() ? this->handleStall() : this->handleUpstreamLeaving();
}

void StreamRelay::awaitActivity()
{
    DescriptorPoller poller;
    auto callerIndex = poller.add(this->caller.descriptor());
    poller.add(this->takeover || this->eventMemoryDeadline ? -1 : this->call->descriptor());
    poller.add(this->migration ? this->migration->descriptor() : -1);
    poller.add(this->takeover ? this->takeover->call->descriptor() : -1);
    poller.add(this->replacement ? this->replacement->attempt.call->descriptor() : -1);
    auto checkInterval = this->eventMemoryDeadline ? memoryCheckInterval : leaveCheckInterval;
    poller.wait(this->dependencies.clock, std::min(this->work.deadline, this->dependencies.clock.now() + checkInterval));
    if (poller.isReadable(callerIndex) && this->caller.isDisconnected()) {
        this->call->cancel();
        if (this->takeover) {
            this->takeover->call->cancel();
        }
        if (this->replacement) {
            this->replacement->attempt.call->cancel();
        }
        throw CallerDisconnected();
    }
}

StreamRelay::StepResult StreamRelay::processHead()
{
    auto metadata = this->inspector.inspect(this->work.request.id, this->placement.upstream, *this->call);
    auto status = this->call->head().status;
    this->dependencies.events.write("answer_head",
                                    { { "request", this->work.request.id.value() },
                                      { "upstream", this->placement.upstream.id.value() },
                                      { "status", status },
                                      { "not_run", metadata.hasNotRun || metadata.isInstanceMismatch } });
    if (!metadata.requestId.isEmpty() && metadata.requestId != this->work.request.id) {
        this->call->cancel();
        return this->recover("the response belongs to another request");
    }
    if (metadata.hasNotRun || metadata.isInstanceMismatch) {
        this->dependencies.health.recordFailure(this->placement.upstream.id, refusalWeight);
        if (this->placement.observation) {
            this->placement.observation->discard();
        }
        this->call->cancel();
        if (this->hasSentHead) {
            // The run was not continued there, so that upstream made no backup copy either.
            this->backup.reset();
            return this->recover("the upstream refused to continue the run");
        }
        this->retryState.excludedUpstreams.push_back(this->placement.upstream.id);
        this->openCall();
        return StepResult::Reopened;
    }
    if (status == okStatus && !metadata.hasServerStamp) {
        this->call->cancel();
        return this->recover("the response lacks the field that marks a genuine upstream response");
    }
    this->hasProcessedHead = true;
    return StepResult::Continue;
}

StreamRelay::StepResult StreamRelay::handleErrorResponse()
{
    if (this->hasSentHead || this->call->state() != UpstreamCall::State::Complete) {
        return this->recover("the upstream failed");
    }
    this->dependencies.health.recordFailure(this->placement.upstream.id, 1);
    const auto &head = this->call->head();
    if (this->placement.observation && head.status < firstServerErrorStatus) {
        // The request is at fault, whatever the version.
        this->placement.observation->discard();
    }
    this->observeFailure(false);
    this->caller.sendResponse(forwardedHead(head), this->call->body(), this->isKeepAlive);
    return StepResult::Complete;
}

bool StreamRelay::sendEvent(const StreamEvent &event)
{
    if (!this->hasSentHead) {
        this->hasSentHead = this->caller.beginStream(forwardedHead(this->call->head()), this->isKeepAlive);
    }
    return this->hasSentHead && this->caller.sendChunk(event.bytes);
}

bool StreamRelay::reserveEvent()
{
    auto bytes = this->events.capacityFor(this->call->body().size());
    if (bytes <= std::max<std::uint64_t>(unreservedEventBytes, this->eventMemory.bytes())) {
        return true;
    }
    // Doubling copies each byte a bounded number of times, and an event that exceeds its limit is ended before it needs more than the received bytes.
    auto largest = std::max(bytes, this->dependencies.responseLimits.eventBytes);
    auto capacity = std::clamp<std::size_t>(2 * this->eventMemory.bytes(), bytes + eventMemoryStep, largest + eventMemoryStep);
    if (!this->eventMemory.tryGrow(capacity)) {
        return false;
    }
    this->events.reserve(capacity);
    return true;
}

StreamRelay::StepResult StreamRelay::awaitEventMemory()
{
    auto now = this->dependencies.clock.now();
    if (!this->eventMemoryDeadline) {
        this->eventMemoryDeadline = now + this->dependencies.connectionLimits.memoryWait;
    }
    if (now < *this->eventMemoryDeadline) {
        return StepResult::Continue;
    }
    this->dependencies.counters.counter("lovageward_event_memory_exhausted_total").add();
    this->call->cancel();
    return this->recover("there is no memory for an unfinished event");
}

void StreamRelay::discardPartialEvent()
{
    this->events.discardPartialEvent();
    this->eventMemory.reset();
    this->eventMemoryDeadline.reset();
}

StreamRelay::StepResult StreamRelay::forwardEvents()
{
    if (!this->reserveEvent()) {
        return this->awaitEventMemory();
    }
    this->eventMemoryDeadline.reset();
    try {
        this->events.append(this->call->body());
        this->call->body().clear();
        while (auto event = this->events.parseNext()) {
            if (!this->sendEvent(*event)) {
                this->call->cancel();
                throw CallerDisconnected();
            }
            this->timing.recordEvent();
            this->lastEventAt = this->dependencies.clock.now();
            if (this->placement.observation) {
                this->placement.observation->recordEvent();
            }
            if (this->timing.eventCount() == 1) {
                this->dependencies.placementListener.loadChanged();
            }
            if (!this->hasProvenSound && this->timing.timeSinceFirstEvent() >= soundOutputTime) {
                this->hasProvenSound = true;
                this->outcomes.recordSuccess(this->work.request);
            }
            this->reportProgress();
        }
        if (this->eventMemory.bytes() > 0 && this->events.capacityFor(0) == 0) {
            this->events.releaseEmptyBuffer();
            this->eventMemory.reset();
        }
    } catch (const Error &error) {
        this->call->cancel();
        return this->recover(error.what());
    }
    return StepResult::Continue;
}

void StreamRelay::reportProgress()
{
    if (this->work.pool->engine) {
        auto producedTokens = static_cast<double>(this->timing.eventCount()) * this->work.pool->engine->tokensPerEvent;
        this->placement.reservation->recordProgress(producedTokens);
        this->tokenTimeSampler->recordProgress(producedTokens);
    }
}

bool StreamRelay::isStreamComplete() const
{
    if (this->call->state() != UpstreamCall::State::Complete || !this->events.isBetweenEvents() || this->timing.eventCount() == 0) {
        return false;
    }
    // A response without length and chunks that ends before its first event may have been broken off.
    return !this->call->hasConnectionEnded() || this->timing.eventCount() > this->eventsBeforeCall;
}

StreamRelay::StepResult StreamRelay::handleCallEnd()
{
    if (this->isStreamComplete()) {
        this->dependencies.health.recordSuccess(this->placement.upstream.id);
        this->outcomes.recordSuccess(this->work.request);
        this->recordOutputLength();
        return this->caller.endStream() ? StepResult::Complete : StepResult::Truncated;
    }
    return this->recover(this->call->failureReason().empty() ? "the stream ended inside an event" : this->call->failureReason());
}

void StreamRelay::recordOutputLength()
{
    if (this->work.pool->engine) {
        auto outputTokens = static_cast<double>(this->timing.eventCount()) * this->work.pool->engine->tokensPerEvent;
        this->dependencies.outputLengths.recordOutput(this->work.route->id, this->work.request.expectedOutputTokens, outputTokens);
    }
}

void StreamRelay::observeFailure(bool isConnectionLost)
{
    // An upstream that shuts down cuts its runs, whatever its version.
    if (this->placement.observation && !this->leavingSince) {
        this->placement.observation->recordFailure(isConnectionLost);
    }
}

Error StreamRelay::interruptedError(const std::string &reason) const
{
    return Error(ResultCode::UpstreamConnectionLost, RunState::Unknown, reason);
}

StreamRelay::StepResult StreamRelay::recover(const std::string &reason)
{
    this->dependencies.health.recordFailure(this->placement.upstream.id, interruptionWeight);
    this->inspector.countExceededLimit(*this->call);
    this->observeFailure(this->call->hasConnectionEnded());
    this->outcomes.recordFailure(this->work.request, this->placement.upstream, *this->call);
    this->dependencies.events.write("run_interrupted",
                                    { { "request", this->work.request.id.value() },
                                      { "upstream", this->placement.upstream.id.value() },
                                      { "reason", reason },
                                      { "events", this->timing.eventCount() },
                                      { "has_backup", this->backup.has_value() },
                                      { "leaving", this->leavingSince.has_value() } });
    this->call->cancel();
    this->migration.reset();
    if (this->takeover) {
        this->abortTakeover("the run was interrupted during the takeover");
    }
    this->retryState.excludedUpstreams.push_back(this->placement.upstream.id);
    if (this->replacement) {
        this->commitReplacement();
        return StepResult::Reopened;
    }
    if (this->continueFromBackup() || this->resumeOnAnotherUpstream()) {
        return StepResult::Reopened;
    }
    if (!this->hasSentHead) {
        throw this->interruptedError(reason);
    }
    return StepResult::Truncated;
}

bool StreamRelay::continueFromBackup()
{
    // A copy of the run would crash its engine as well.
    auto isQuarantined = this->dependencies.queriesOfDeath.findQuarantine(this->work.request.sharedPromptParts()).has_value();
    if (!this->backup || this->timing.eventCount() == 0 || isQuarantined) {
        return false;
    }
    auto target = std::move(*this->backup);
    this->backup.reset();
    auto isAvailable = this->dependencies.placer.acceptsRequests(target.upstream)
        && this->dependencies.registry.evacuationReason(target.upstream.id, target.upstream.boot) == EvacuationReason::None
        && this->dependencies.placer.tryAcquireRateLimit(target.upstream);
    if (!isAvailable) {
        return false;
    }
    KvCacheLocation memory { target.upstream.address, this->work.request.id.value() };
    return this->continueOn(std::move(target), memory);
}

bool StreamRelay::continueOn(PlacedRun target, const KvCacheLocation &memory)
{
    try {
        auto options = this->makeOptions();
        options.kvCache = memory;
        auto nextBackup = this->reserveBackup(options, target.upstream);
        this->call = this->dialer.sendTo(this->work, target, options, this->retryState);
        this->backup = std::move(nextBackup);
    } catch (const Poco::Exception &error) {
        this->dependencies.events.write(
            "connect_failed", { { "request", this->work.request.id.value() }, { "upstream", target.upstream.id.value() }, { "error", error.displayText() } });
        return false;
    }
    this->switchToCall(std::move(target), std::move(this->call));
    return true;
}

void StreamRelay::switchToCall(PlacedRun newPlacement, std::unique_ptr<UpstreamCall> newCall)
{
    this->placement = std::move(newPlacement);
    this->call = std::move(newCall);
    this->hasProcessedHead = false;
    this->eventsBeforeCall = this->timing.eventCount();
    this->backupTakeoverAttempts = 0;
    this->nextTakeoverAt = TimePoint();
    this->leavingSince.reset();
    this->replacementDueAt.reset();
    this->triedTargets.clear();
    this->nextStallCheckAt = TimePoint();
    this->tokenTimeSampler.emplace(this->dependencies.clock, this->dependencies.tokenTimes, this->placement.upstream.id);
    this->discardPartialEvent();
    this->lastEventAt = this->dependencies.clock.now();
}

bool StreamRelay::resumeOnAnotherUpstream()
{
    ++this->retryState.possibleRuns;
    auto isAllowed = this->work.route->isResumable && this->retryState.possibleRuns < this->work.route->maximumAttempts;
    if (!isAllowed || this->dependencies.clock.now() >= this->work.deadline) {
        return false;
    }
    try {
        auto opened = this->dialer.open(this->work, this->retryState, this->makeOptions(), this->caller);
        this->placement = std::move(opened.placement);
        this->call = std::move(opened.call);
    } catch (const Error &error) {
        this->dependencies.events.write("not_continued", { { "request", this->work.request.id.value() }, { "reason", error.what() } });
        return false;
    }
    this->hasProcessedHead = false;
    this->eventsBeforeCall = this->timing.eventCount();
    this->tokenTimeSampler.emplace(this->dependencies.clock, this->dependencies.tokenTimes, this->placement.upstream.id);
    this->discardPartialEvent();
    this->lastEventAt = this->dependencies.clock.now();
    return true;
}

}
