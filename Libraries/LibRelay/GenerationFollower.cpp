#include <LibRelay/GenerationFollower.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

// Reporting every token would take the dispatcher's lock for each event of each stream.
constexpr std::uint64_t tokensPerReport = 16;

}

GenerationFollower::GenerationFollower(
    const RelayDependencies &dependencies, const RelayLimits &limits, AnswerSink &sink, GenerationTarget target, std::string sealedToken, TokenOffset from)
    : dependencies(dependencies)
    , limits(limits)
    , sink(sink)
    , target(std::move(target))
    , sealedToken(std::move(sealedToken))
    , nextOffset(from.value())
    , startsAtBeginning(from.value() == 0)
    , backoff(dependencies.random, limits.backoffBase, limits.backoffCap)
    , logger(dependencies.logSink, "relay")
    , firstTokenDeadline(dependencies.clock.now() + limits.firstTokenTimeout)
{
}

FollowResult GenerationFollower::follow(std::unique_ptr<EngineStream> opened)
{
    this->stream = std::move(opened);
    this->eventDeadline = this->firstTokenDeadline;
    this->nextCheck = this->dependencies.clock.now();
    while (true) {
        auto result = this->stream ? this->readNextEvent() : this->reconnect();
        if (result) {
            this->reportProgress();
            return *result;
        }
    }
}

std::optional<FollowResult> GenerationFollower::readNextEvent()
{
    if (auto result = this->checkInterruption()) {
        return result;
    }
    try {
        auto now = this->dependencies.clock.now();
        // Repeated offsets don't extend the deadline, so an engine that sends no new token is treated as silent.
        if (now >= this->eventDeadline) {
            throw Error(ResultCode::UpstreamSilent, RunState::Unknown, "the engine sent no new token before the deadline");
        }
        auto drainEnd = this->dependencies.drain.deadline();
        return this->accept(this->stream->next(std::min({ this->eventDeadline, now + this->limits.checkInterval, drainEnd })));
    } catch (const Error &error) {
        if (error.code() == ResultCode::UpstreamSilent && this->dependencies.clock.now() < this->eventDeadline) {
            return std::nullopt;
        }
        this->recordFailure(error);
        this->stream.reset();
        return std::nullopt;
    }
}

std::optional<FollowResult> GenerationFollower::checkInterruption()
{
    auto now = this->dependencies.clock.now();
    if (now >= this->dependencies.drain.deadline()) {
        return FollowResult::DrainEnded;
    }
    // Checking the caller's connection is a system call, so it isn't done for each token; a failed write also detects a closed connection.
    if (now >= this->nextCheck) {
        this->nextCheck = now + this->limits.checkInterval;
        if (this->sink.isCallerGone()) {
            return FollowResult::CallerGone;
        }
    }
    return std::nullopt;
}

void GenerationFollower::verify(const EngineEvent &event)
{
    // An end marker has no request id of its own; it carries the id of an earlier event on the same connection, if there was one.
    bool hasUnknownRequest = event.kind == EngineEvent::Kind::End && event.request.isEmpty();
    if ((event.request != this->target.request && !hasUnknownRequest) || event.generation != this->target.generation) {
        throw Error(ResultCode::AnswerMismatch,
                    RunState::Unknown,
                    fmt::format("an event of request {} arrived for request {}", event.request.value(), this->target.request.value()));
    }
}

std::optional<FollowResult> GenerationFollower::accept(const EngineEvent &event)
{
    this->verify(event);
    this->waitForLinkBudget(event);
    return event.kind == EngineEvent::Kind::End ? this->acceptEnd(event) : this->acceptToken(event);
}

std::optional<FollowResult> GenerationFollower::acceptToken(const EngineEvent &event)
{
    auto offset = event.offset.value();
    if (offset < this->nextOffset) {
        this->dependencies.counters.duplicates.add();
        return std::nullopt;
    }
    if (offset > this->nextOffset) {
        throw Error(ResultCode::OffsetGap, RunState::Ran, fmt::format("the engine sent offset {} after {} tokens", offset, this->nextOffset));
    }
    ++this->nextOffset;
    ++this->receivedCount;
    this->fruitlessResumes = 0;
    this->eventDeadline = this->dependencies.clock.now() + this->limits.tokenGapTimeout;
    if (this->receivedCount % tokensPerReport == 0) {
        this->reportProgress();
    }
    if (!this->isHeld) {
        return this->deliver(event) ? std::nullopt : std::optional(FollowResult::CallerGone);
    }
    this->heldBytes += event.data.size() + event.text.size() + sizeof(EngineEvent);
    if (this->heldBytes > this->limits.maximumHeldBytes) {
        this->lastFailure = Error(ResultCode::AnswerIncomplete, RunState::Ran, "the answer is larger than the buffer for held answers");
        return FollowResult::Lost;
    }
    this->held.push_back(event);
    return std::nullopt;
}

std::optional<FollowResult> GenerationFollower::acceptEnd(const EngineEvent &event)
{
    if (event.offset.value() != this->nextOffset) {
        throw Error(
            ResultCode::OffsetGap, RunState::Ran, fmt::format("the end marker counts {} tokens, but {} have arrived", event.offset.value(), this->nextOffset));
    }
    for (const auto &heldEvent : std::exchange(this->held, {})) {
        if (!this->deliver(heldEvent)) {
            return FollowResult::CallerGone;
        }
    }
    return FollowResult::Completed;
}

bool GenerationFollower::deliver(const EngineEvent &event)
{
    ++this->deliveredCount;
    this->dependencies.counters.tokens.add();
    return this->sink.sendToken(event, ResumeTokenCodec::eventId(this->sealedToken, event.offset));
}

void GenerationFollower::waitForLinkBudget(const EngineEvent &event)
{
    if (!this->linkMeter) {
        return;
    }
    auto freeAt = this->linkMeter(ByteCount(event.data.size()));
    auto now = this->dependencies.clock.now();
    if (freeAt <= now) {
        return;
    }
    auto end = std::min(freeAt, this->dependencies.drain.deadline());
    this->dependencies.waiter.waitUntil(end);
    // Time spent waiting for the link must not count as silence of the engine.
    this->eventDeadline += end - now;
}

void GenerationFollower::reportProgress()
{
    if (this->progressCallback) {
        this->progressCallback(TokenCount(this->receivedCount));
    }
}

bool GenerationFollower::awaitsFirstToken() const
{
    return this->startsAtBeginning && this->receivedCount == 0;
}

unsigned GenerationFollower::maximumFruitlessResumes() const
{
    return this->awaitsFirstToken() ? 1 : std::max(1U, this->limits.maximumResumes);
}

std::optional<FollowResult> GenerationFollower::reconnect()
{
    if (this->fruitlessResumes >= this->maximumFruitlessResumes()) {
        return FollowResult::Lost;
    }
    if (this->fruitlessResumes > 0) {
        auto end = this->dependencies.clock.now() + this->backoff.delay(this->fruitlessResumes - 1);
        this->dependencies.waiter.waitUntil(std::min(end, this->dependencies.drain.deadline()));
    }
    this->nextCheck = this->dependencies.clock.now();
    if (auto result = this->checkInterruption()) {
        return result;
    }
    ++this->fruitlessResumes;
    return this->openConnection();
}

std::optional<FollowResult> GenerationFollower::openConnection()
{
    this->dependencies.counters.resumes.add();
    auto now = this->dependencies.clock.now();
    bool isFirst = this->awaitsFirstToken();
    // A generation whose connection was lost early may still be queued at the engine, so its first-token deadline stays.
    auto firstDeadline = std::max(this->firstTokenDeadline, now + this->limits.tokenGapTimeout);
    try {
        auto deadline = std::min(isFirst ? firstDeadline : now + this->limits.connectTimeout, this->dependencies.drain.deadline());
        this->stream = this->dependencies.engines.resume(this->target.address, this->target.generation, TokenOffset(this->nextOffset), deadline);
        this->eventDeadline = isFirst ? firstDeadline : this->dependencies.clock.now() + this->limits.tokenGapTimeout;
        return std::nullopt;
    } catch (const Error &error) {
        this->recordFailure(error);
        return error.code() == ResultCode::GenerationLost ? std::optional(FollowResult::Lost) : std::nullopt;
    }
}

void GenerationFollower::recordFailure(const Error &error)
{
    if (error.code() == ResultCode::UpstreamSilent) {
        this->dependencies.counters.silences.add();
    } else if (error.code() == ResultCode::UpstreamConnectionLost || error.code() == ResultCode::UpstreamUnavailable) {
        this->dependencies.counters.connectionLosses.add();
    } else if (error.code() == ResultCode::AnswerMismatch) {
        this->dependencies.counters.mismatches.add();
    } else if (error.code() == ResultCode::OffsetGap) {
        this->dependencies.counters.offsetGaps.add();
    }
    this->logger.warning("request {} at {} after {} tokens: {} ({})",
                         this->target.request.value(),
                         this->target.address,
                         this->nextOffset,
                         error.what(),
                         resultName(error.code()));
    this->lastFailure = error;
}

std::string GenerationFollower::lastEventId() const
{
    // The next offset includes tokens that the caller had before this follower started and, in a held answer, tokens that weren't sent yet.
    auto firstMissing = this->nextOffset - this->receivedCount + this->deliveredCount;
    auto last = firstMissing == 0 ? std::nullopt : std::optional(TokenOffset(firstMissing - 1));
    return ResumeTokenCodec::eventId(this->sealedToken, last);
}

}
