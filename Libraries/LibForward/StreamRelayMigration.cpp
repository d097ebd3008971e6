#include <LibForward/StreamRelay.h>

#include <Poco/Exception.h>

namespace Lovageward {

// The part of StreamRelay that transfers a run from a leaving engine to another one.

namespace {

/** A backup that can continue the run responds within a round trip. Two engines must not execute one run for longer than 400 ms. */
constexpr Duration takeoverTimeout = milliseconds(300);

// The first backup copy of a new run takes a few hundred milliseconds. After two failed attempts a migration is faster than further attempts.
constexpr std::size_t maximumBackupTakeovers = 2;
constexpr Duration backupTakeoverInterval = milliseconds(300);

/** Time over which the runs of a replaced version begin to migrate, because a link transfers one copy after another. */
constexpr Duration replacementSpread = seconds(2);
constexpr Duration replacementRetryDelay = milliseconds(500);

/** Targets that are tried for a migration. An engine without capacity responds immediately, so several can be tried. */
constexpr std::size_t maximumMigrationTargets = 4;

}

StreamRelay::StepResult StreamRelay::handleUpstreamLeaving()
{
    if (!this->leavingSince) {
        auto reason = this->dependencies.registry.evacuationReason(this->placement.upstream.id, this->placement.upstream.boot);
        if (reason == EvacuationReason::Replaced) {
            return this->handleReplacement();
        }
        if (reason != EvacuationReason::Draining) {
            return StepResult::Continue;
        }
        this->leavingSince = this->dependencies.clock.now();
        // Attempts for a roll-out don't count.
        this->triedTargets.clear();
    }
    // A run that has produced no event has no memory to transfer.
    if (this->timing.eventCount() == 0 || this->migration || this->takeover || this->beginBackupTakeover()) {
        return StepResult::Continue;
    }
    if (this->triedTargets.size() < maximumMigrationTargets) {
        this->beginMigration();
    }
    return StepResult::Continue;
}

StreamRelay::StepResult StreamRelay::handleReplacement()
{
    auto now = this->dependencies.clock.now();
    if (!this->replacementDueAt) {
        this->replacementDueAt = now + std::chrono::duration_cast<Duration>(this->dependencies.random.unit() * replacementSpread);
    }
    if (this->timing.eventCount() == 0 || this->migration || this->takeover || now < *this->replacementDueAt) {
        return StepResult::Continue;
    }
    // The upstream stays for seconds, so targets that had no room are tried again.
    this->triedTargets.clear();
    this->replacementDueAt = now + replacementRetryDelay + std::chrono::duration_cast<Duration>(this->dependencies.random.unit() * replacementSpread);
    this->beginMigration();
    return StepResult::Continue;
}

bool StreamRelay::beginBackupTakeover()
{
    if (!this->backup || this->backupTakeoverAttempts >= maximumBackupTakeovers || !this->dependencies.placer.acceptsRequests(this->backup->upstream)) {
        return false;
    }
    if (this->dependencies.clock.now() < this->nextTakeoverAt) {
        // The backup copy of a new run may still be in transfer. A migration would transfer the same memory again.
        return true;
    }
    if (!this->dependencies.placer.tryAcquireRateLimit(this->backup->upstream)) {
        return false;
    }
    ++this->backupTakeoverAttempts;
    this->nextTakeoverAt = this->dependencies.clock.now() + backupTakeoverInterval;
    auto target = std::move(*this->backup);
    this->backup.reset();
    KvCacheLocation memory { target.upstream.address, this->work.request.id.value() };
    return this->beginTakeover(std::move(target), memory, true);
}

bool StreamRelay::beginTakeover(PlacedRun target, const KvCacheLocation &memory, bool isBackup)
{
    Takeover attempt;
    attempt.placement = std::move(target);
    attempt.isBackup = isBackup;
    attempt.deadline = this->dependencies.clock.now() + takeoverTimeout;
    try {
        auto options = this->makeOptions();
        options.kvCache = memory;
        attempt.nextBackup = this->reserveBackup(options, attempt.placement.upstream);
        attempt.call = this->dialer.sendTo(this->work, attempt.placement, options, this->retryState);
    } catch (const Poco::Exception &error) {
        this->dependencies.events.write(
            "connect_failed",
            { { "request", this->work.request.id.value() }, { "upstream", attempt.placement.upstream.id.value() }, { "error", error.displayText() } });
        return false;
    }
    this->takeover = std::move(attempt);
    return true;
}

StreamRelay::StepResult StreamRelay::advanceTakeover()
{
    auto &attempt = *this->takeover;
    auto state = attempt.call->advance();
    if (!attempt.call->hasHead()) {
        if (state == UpstreamCall::State::Failed) {
            this->outcomes.recordFailure(this->work.request, attempt.placement.upstream, *attempt.call);
            this->abortTakeover(attempt.call->failureReason());
        } else if (this->dependencies.clock.now() >= attempt.deadline) {
            this->abortTakeover("the copy's engine did not respond in time");
        }
        return StepResult::Continue;
    }
    auto metadata = this->inspector.inspect(this->work.request.id, attempt.placement.upstream, *attempt.call);
    auto isContinued = attempt.call->head().status == okStatus && metadata.hasServerStamp && metadata.requestId == this->work.request.id;
    if (!isContinued) {
        this->abortTakeover("the copy's engine can't continue the run");
        return StepResult::Continue;
    }
    this->call->cancel();
    this->backup = std::move(attempt.nextBackup);
    auto newPlacement = std::move(attempt.placement);
    auto newCall = std::move(attempt.call);
    this->takeover.reset();
    this->dependencies.events.write("taken_over", { { "request", this->work.request.id.value() }, { "upstream", newPlacement.upstream.id.value() } });
    this->switchToCall(std::move(newPlacement), std::move(newCall));
    return StepResult::Reopened;
}

void StreamRelay::abortTakeover(const std::string &reason)
{
    this->dependencies.events.write(
        "takeover_failed",
        { { "request", this->work.request.id.value() }, { "upstream", this->takeover->placement.upstream.id.value() }, { "reason", reason } });
    this->takeover->call->cancel();
    if (this->takeover->isBackup) {
        // The copy may still be in transfer, so its capacity stays reserved.
        this->backup = std::move(this->takeover->placement);
    }
    this->takeover.reset();
}

void StreamRelay::beginMigration()
{
    auto canMigrate = this->work.pool->engine && this->work.pool->engine->supportsMigration;
    if (!canMigrate || this->dependencies.refusals.refusedUntil(this->placement.upstream)) {
        return;
    }
    auto need = this->dialer.placementNeed(this->work, RetryState());
    need.excluded = this->triedTargets;
    auto result = this->dependencies.placer.placeCopy(need, this->placement.upstream, CopyPurpose::Migration);
    auto isPlaced = result.outcome == PickOutcome::Picked;
    this->dependencies.events.write("move_begin",
                                    { { "request", this->work.request.id.value() },
                                      { "from", this->placement.upstream.id.value() },
                                      { "to", isPlaced ? result.run.upstream.id.value() : std::string() },
                                      { "events", this->timing.eventCount() } });
    if (!isPlaced) {
        // Prevents further attempts, because no target has capacity.
        this->triedTargets.resize(maximumMigrationTargets);
        return;
    }
    this->dependencies.placementListener.loadChanged();
    this->triedTargets.push_back(result.run.upstream.id);
    try {
        this->migration = std::make_unique<RunMigration>(this->dependencies, this->work.request.id, this->placement.upstream, std::move(result.run));
    } catch (const Poco::Exception &error) {
        this->dependencies.events.write("move_failed", { { "request", this->work.request.id.value() }, { "reason", error.displayText() } });
    }
}

void StreamRelay::advanceMigration()
{
    auto stage = this->migration->advance();
    if (stage == RunMigration::Stage::Copying) {
        if (this->dependencies.clock.now() < this->migration->deadline()) {
            return;
        }
        this->migration->abandon();
        stage = RunMigration::Stage::Failed;
    }
    auto endedMigration = std::move(this->migration);
    this->dependencies.events.write("move_end",
                                    { { "request", this->work.request.id.value() },
                                      { "to", endedMigration->target().upstream.id.value() },
                                      { "done", stage == RunMigration::Stage::Done },
                                      { "reason", endedMigration->failureReason() } });
    if (stage == RunMigration::Stage::Done) {
        this->beginTakeover(std::move(endedMigration->target()), endedMigration->copiedMemory(), false);
    }
}

}
