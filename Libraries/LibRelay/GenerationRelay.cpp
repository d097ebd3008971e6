#include <LibRelay/GenerationRelay.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** Run state of a request after two attempts: that of the attempt that got further. */
RunState furthestRunState(RunState left, RunState right)
{
    auto rank = [](RunState state) { return state == RunState::NotRun ? 0 : state == RunState::Unknown ? 1 : 2; };
    return rank(left) >= rank(right) ? left : right;
}

/** Result codes 1xx report an invalid request, which every engine would refuse. */
bool isRequestError(ResultCode code)
{
    return static_cast<int>(code) < static_cast<int>(ResultCode::QueueFull);
}

}

GenerationRelay::GenerationRelay(
    const RelayDependencies &dependencies, Dispatcher &dispatcher, const RelayLimits &limits, Duration tokenLifetime, AnswerSink &sink)
    : dependencies(dependencies)
    , dispatcher(dispatcher)
    , limits(limits)
    , tokenLifetime(tokenLifetime)
    , sink(sink)
    , backoff(dependencies.random, limits.backoffBase, limits.backoffCap)
    , logger(dependencies.logSink, "relay")
{
}

void GenerationRelay::run(const RelayTask &task)
{
    auto item = task.item;
    try {
        for (unsigned start = 1;; ++start) {
            auto placement = this->dispatcher.acquire(item);
            if (this->attempt(task, item, placement, start >= this->limits.maximumStarts)) {
                return;
            }
            item.isRetry = true;
            this->dependencies.counters.restarts.add();
            auto retryAt = this->dependencies.clock.now() + this->backoff.delay(start - 1);
            this->dependencies.waiter.waitUntil(std::min(retryAt, this->dependencies.drain.deadline()));
        }
    } catch (const Error &error) {
        // No further engine was available. The run state also depends on the earlier attempts.
        auto cause = this->lastError ? fmt::format("{}, after {}: {}", error.what(), resultName(this->lastError->code()), this->lastError->what())
                                     : std::string(error.what());
        this->fail(Error(error.code(), furthestRunState(this->runState, error.runState()), cause, error.retryAfter()), nullptr);
    }
}

bool GenerationRelay::abortBeforeStart(PlacementGuard &guard)
{
    guard.setOutcome(PlacementOutcome::Cancelled);
    if (this->sink.isCallerGone()) {
        this->dependencies.counters.callerGone.add();
        return true;
    }
    if (this->dependencies.clock.now() >= this->dependencies.drain.deadline()) {
        this->fail(Error(ResultCode::ShuttingDown, this->runState, "the node is shutting down", seconds(1)), nullptr);
        return true;
    }
    return false;
}

bool GenerationRelay::attempt(const RelayTask &task, WorkItem &item, const Placement &placement, bool isLastAttempt)
{
    PlacementGuard guard(this->dispatcher, placement.id);
    if (this->abortBeforeStart(guard)) {
        return true;
    }
    GenerationTarget target { placement.upstream, placement.address, item.request, GenerationId(this->dependencies.random.hexId()), item.team, item.workClass };
    GenerationFollower follower(this->dependencies, this->limits, this->sink, target, this->sealToken(target), TokenOffset(0));
    if (task.isHeld) {
        follower.holdAnswer();
    }
    if (placement.isCrossRegion) {
        follower.setLinkMeter([this](ByteCount bytes) { return this->dispatcher.accountCrossRegionBytes(bytes); });
    }
    follower.setProgressCallback([this, &placement](TokenCount produced) { this->dispatcher.reportProgress(placement.id, produced); });

    bool mayHaveStarted = true;
    try {
        auto stream = this->startStream(task, target, placement);
        this->runState = furthestRunState(this->runState, RunState::Unknown);
        auto result = follower.follow(std::move(stream));
        this->runState = follower.hasReceived() ? RunState::Ran : this->runState;
        if (this->finish(follower, result, guard)) {
            return true;
        }
    } catch (const Error &error) {
        this->recordFailure(error);
        this->runState = furthestRunState(this->runState, error.runState());
        mayHaveStarted = error.runState() != RunState::NotRun;
    }
    guard.setOutcome(this->outcomeOfLastError());
    item.excluded.push_back(placement.upstream);
    bool restarts = this->mayRestart(follower.hasDelivered(), isLastAttempt);
    if (!restarts) {
        // The caller is answered before the cancellation, which may take until its timeout.
        this->fail(Error(this->lastError->code(), this->runState, this->lastError->what(), this->lastError->retryAfter()), &follower);
    }
    if (mayHaveStarted) {
        this->cancel(target);
    }
    return !restarts;
}

std::unique_ptr<EngineStream> GenerationRelay::startStream(const RelayTask &task, const GenerationTarget &target, const Placement &placement)
{
    GenerationRequest request { target.request, target.generation, task.path, task.body, task.priority };
    auto deadline = std::min(this->dependencies.clock.now() + this->limits.firstTokenTimeout, this->dependencies.drain.deadline());
    try {
        return this->dependencies.engines.start(placement.address, request, deadline);
    } catch (const Error &error) {
        if (error.runState() == RunState::NotRun || isRequestError(error.code()) || error.code() == ResultCode::UpstreamError) {
            throw;
        }
        // The engine may run the generation although its response was lost, so the follower tries to resume it before it is given up.
        this->recordFailure(error);
        return nullptr;
    }
}

bool GenerationRelay::finish(const GenerationFollower &follower, FollowResult result, PlacementGuard &guard)
{
    switch (result) {
    case FollowResult::Completed:
        guard.setOutcome(PlacementOutcome::Completed);
        this->sink.complete();
        this->dependencies.counters.completed.add();
        return true;
    case FollowResult::CallerGone:
        guard.setOutcome(PlacementOutcome::Cancelled);
        this->handleCallerGone(follower);
        this->dependencies.counters.callerGone.add();
        return true;
    case FollowResult::DrainEnded:
        // The generation isn't cancelled, since the caller resumes it at another node.
        guard.setOutcome(PlacementOutcome::Cancelled);
        this->sink.handOver(Error(ResultCode::ShuttingDown, this->runState, "the node is shutting down; resume at another node"), follower.lastEventId());
        this->dependencies.counters.handedOver.add();
        return true;
    case FollowResult::Lost:
        break;
    }
    if (follower.failure()) {
        this->lastError = follower.failure();
    }
    return false;
}

void GenerationRelay::resume(const ResumePoint &point, bool isHeld)
{
    const auto &token = point.token;
    GenerationTarget target { token.upstream, token.address, token.request, token.generation, token.team, token.workClass };
    // A resume token proves that the generation was started, and an offset above 0 that it has produced tokens.
    this->runState = point.from.value() > 0 ? RunState::Ran : RunState::Unknown;
    GenerationFollower follower(this->dependencies, this->limits, this->sink, target, this->sealToken(target), point.from);
    if (isHeld) {
        follower.holdAnswer();
    }
    this->dependencies.handover.takeOver(token.owner, token.generation);
    auto result = follower.follow(nullptr);
    this->runState = follower.hasReceived() ? RunState::Ran : this->runState;
    switch (result) {
    case FollowResult::Completed:
        this->sink.complete();
        this->dependencies.counters.completed.add();
        return;
    case FollowResult::CallerGone:
        this->dependencies.handover.abandon(target);
        this->dependencies.counters.callerGone.add();
        return;
    case FollowResult::DrainEnded:
        this->sink.handOver(Error(ResultCode::ShuttingDown, this->runState, "the node is shutting down; resume at another node"), follower.lastEventId());
        this->dependencies.counters.handedOver.add();
        return;
    case FollowResult::Lost:
        this->lastError = follower.failure().value_or(Error(ResultCode::GenerationLost, this->runState, "the generation is lost"));
        this->fail(Error(this->lastError->code(), this->runState, this->lastError->what()), &follower);
        this->cancel(target);
        return;
    }
}

PlacementOutcome GenerationRelay::outcomeOfLastError() const
{
    switch (this->lastError->code()) {
    case ResultCode::UpstreamRefused:
        return PlacementOutcome::Refused;
    case ResultCode::UpstreamUnavailable:
    case ResultCode::UpstreamConnectionLost:
    case ResultCode::UpstreamSilent:
    case ResultCode::GenerationLost:
        return PlacementOutcome::ConnectionFailed;
    default:
        return PlacementOutcome::Failed;
    }
}

bool GenerationRelay::mayRestart(bool hasDelivered, bool isLastAttempt) const
{
    return !hasDelivered && !isLastAttempt && !isRequestError(this->lastError->code()) && this->lastError->code() != ResultCode::AnswerIncomplete;
}

void GenerationRelay::handleCallerGone(const GenerationFollower &follower)
{
    // A caller that received no event has no id with which it could resume.
    if (follower.hasDelivered()) {
        this->dependencies.handover.abandon(follower.generationTarget());
    } else {
        this->cancel(follower.generationTarget());
    }
}

void GenerationRelay::cancel(const GenerationTarget &target)
{
    try {
        this->dependencies.engines.cancel(target.address, target.generation, this->dependencies.clock.now() + this->limits.cancelTimeout);
    } catch (const Error &error) {
        this->logger.info("request {} could not be cancelled at {}: {}", target.request.value(), target.address, error.what());
    }
}

void GenerationRelay::fail(const Error &error, const GenerationFollower *follower)
{
    bool isIncomplete = follower != nullptr && follower->hasDelivered();
    (isIncomplete ? this->dependencies.counters.incomplete : this->dependencies.counters.failed).add();
    this->sink.fail(error, isIncomplete ? follower->lastEventId() : std::string());
}

void GenerationRelay::recordFailure(const Error &error)
{
    this->logger.warning("{} ({})", error.what(), resultName(error.code()));
    this->lastError = error;
}

std::string GenerationRelay::sealToken(const GenerationTarget &target) const
{
    return this->dependencies.tokens.seal({ target.upstream,
                                            target.address,
                                            target.generation,
                                            target.request,
                                            target.team,
                                            target.workClass,
                                            this->dependencies.handover.ownerHost(),
                                            this->dependencies.clock.wallNow() + this->tokenLifetime });
}

}
