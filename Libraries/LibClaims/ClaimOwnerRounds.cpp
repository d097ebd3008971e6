// Rounds of ClaimOwner: appending a batch and reading it back.
#include <LibClaims/ClaimOwner.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr std::size_t recordsPerRead = 500;
constexpr Duration maximumBackoff = seconds(2);
// Random delay after losing the epoch, so that two nodes that both consider themselves the owner don't alternate in lockstep.
constexpr std::uint64_t maximumContentionDelayMicroseconds = 2'000'000;
// Estimated encoding overhead of one entry in addition to its key and body.
constexpr std::size_t entryOverheadBytes = 32;

}

TimePoint ClaimOwner::step()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->dropExpiredClaims();
        if (!this->isReadRequested && this->pendingClaims.empty() && this->reports.empty() && this->releases.empty()) {
            return TimePoint::max();
        }
        if (this->clock.now() < this->nextAppendAt) {
            return this->nextAppendAt;
        }
    }
    try {
        this->runRound();
        std::lock_guard<std::mutex> guard(this->mutex);
        this->failures = 0;
        this->failingSince.reset();
    } catch (const Error &error) {
        this->handleRoundFailure(error.code() == ResultCode::OutcomeUnknown);
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeDecidedClaims();
    // Claims that only wait for their attempt's next request need no round of their own.
    constexpr Duration idleInterval = milliseconds(50);
    return std::max(this->nextAppendAt, this->clock.now() + idleInterval);
}

void ClaimOwner::runRound()
{
    bool mustRead = false;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        mustRead = this->needsRead || this->isReadRequested;
    }
    if (mustRead) {
        this->readToEnd(this->clock.now() + this->settings.appendTimeout);
    }
    std::optional<std::string> payload;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->removeDecidedClaims();
        payload = this->buildBatch();
    }
    if (payload) {
        this->append(*payload);
        this->readToEnd(this->clock.now() + this->settings.appendTimeout);
    }
}

void ClaimOwner::append(const std::string &payload)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->needsRead = true;
        this->nextAppendAt = this->clock.now() + this->settings.appendInterval;
        ++this->totalCounts.appends;
        this->totalCounts.appendedBytes += payload.size();
    }
    this->log.append(this->stream, payload, this->clock.now() + this->settings.appendTimeout);
}

void ClaimOwner::readToEnd(TimePoint deadline)
{
    Offset from;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        from = this->nextOffset;
    }
    if (from == Offset()) {
        from = this->findStartOffset();
    }
    while (true) {
        if (this->clock.now() > deadline) {
            throw Error(ResultCode::LogUnavailable, RunState::NotRun, "the claim stream could not be read in time");
        }
        auto result = this->log.read(this->stream, from, recordsPerRead, this->clock.now());
        this->applyRead(result);
        if (result.records.empty() || result.records.back().offset >= result.end) {
            break;
        }
        from = Offset(result.records.back().offset.value() + 1);
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->needsRead = false;
    this->isReadRequested = false;
    this->lastReadAt = this->clock.now();
}

Offset ClaimOwner::findStartOffset()
{
    auto head = this->log.read(this->stream, Offset(1), 1, this->clock.now());
    if (head.records.empty()) {
        return Offset(1);
    }
    auto tail = this->log.read(this->stream, head.end, 1, this->clock.now());
    if (tail.records.empty()) {
        return head.firstRetained;
    }
    auto target = tail.records.front().appendedAt - claimReadSpan;
    auto low = head.firstRetained.value();
    auto high = head.end.value();
    // Append times don't decrease with the offset, so a binary search finds the start with a few reads of one record.
    while (low < high) {
        auto middle = low + (high - low) / 2;
        auto probe = this->log.read(this->stream, Offset(middle), 1, this->clock.now());
        if (!probe.records.empty() && probe.records.front().appendedAt < target) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return Offset(low);
}

void ClaimOwner::applyRead(const LogReadResult &result)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->nextOffset != Offset() && result.firstRetained > this->nextOffset) {
        // The retention exceeds claimReadSpan, so no key in the gap can be used any more. The epoch has expired as well.
        this->table = ClaimTable();
    }
    for (const auto &record : result.records) {
        if (record.offset < this->nextOffset) {
            continue;
        }
        this->nextOffset = Offset(record.offset.value() + 1);
        if (record.appendedAt > this->estimateLogTime()) {
            this->newestAppendTime = record.appendedAt;
            this->newestAppendSeenAt = this->clock.now();
        }
        this->totalCounts.readBytes += record.payload.size();
        this->handleAppliedRecord(this->table.apply(record));
    }
}

void ClaimOwner::handleAppliedRecord(const AppliedRecord &applied)
{
    auto hasEpoch = this->ownsNewestEpoch();
    if (this->hadEpoch && !hasEpoch) {
        this->nextAppendAt = std::max(this->nextAppendAt, this->clock.now() + Duration(this->random.below(maximumContentionDelayMicroseconds)));
    }
    this->hadEpoch = hasEpoch;
    if (hasEpoch && applied.epoch == this->table.epoch()) {
        this->handleOwnBatch(applied);
    }
}

void ClaimOwner::handleOwnBatch(const AppliedRecord &applied)
{
    if (!applied.isValid) {
        // The batch is delayed or duplicated, or the epoch is too old by log time.
        this->mustRenewEpoch = this->mustRenewEpoch || (applied.sequence == this->lastSentSequence && applied.sequence > this->lastValidSequence);
        return;
    }
    this->lastValidSequence = applied.sequence;
    for (const auto &claim : applied.claims) {
        if (claim.outcome == ClaimOutcome::Accepted) {
            ++this->totalCounts.acceptedClaims;
        }
        auto pending = this->pendingClaims.find(claim.attempt);
        if (pending != this->pendingClaims.end() && (claim.outcome == ClaimOutcome::KeyTooOld || claim.outcome == ClaimOutcome::KeyInFuture)) {
            pending->second.refusal = claim.outcome;
        }
    }
    this->totalCounts.releases += std::erase_if(this->releases, [&](const auto &item) { return item.second.sentSequence == applied.sequence; });
    for (auto position = this->reports.begin(); position != this->reports.end();) {
        auto current = position++;
        // Only a valid batch of this owner proves that there are no unread records of a newer owner.
        if (current->second.sentSequence == applied.sequence) {
            this->eraseReport(current);
        }
    }
}

bool ClaimOwner::needsEpoch() const
{
    return !this->ownsNewestEpoch() || this->mustRenewEpoch || this->clock.now() >= this->ownershipSentAt + this->settings.epochRenewal;
}

std::string ClaimOwner::buildOwnership()
{
    // Each append has its own id. An unanswered append is repeated with the same id, so that only the first copy takes effect.
    if (this->ownershipId.isEmpty() || this->hadEpoch || this->table.epochRecord() != this->ownershipBase) {
        this->ownershipId = RecordId(this->random.hexId());
        this->ownershipBase = this->table.epochRecord();
    }
    this->hadEpoch = false;
    this->ownershipSentAt = this->clock.now();
    this->mustRenewEpoch = false;
    this->lastSentSequence = 0;
    this->lastValidSequence = 0;
    for (auto &[attempt, pending] : this->releases) {
        pending.sentSequence = 0;
    }
    for (auto &[attempt, pending] : this->reports) {
        pending.sentSequence = 0;
    }
    ++this->totalCounts.ownerships;
    return encodeClaimRecord(Ownership { this->ownershipId, this->host, this->incarnation });
}

std::optional<std::string> ClaimOwner::buildBatch()
{
    if (this->pendingClaims.empty() && this->reports.empty() && this->releases.empty()) {
        return std::nullopt;
    }
    if (this->needsEpoch()) {
        return this->buildOwnership();
    }
    ClaimBatch batch;
    batch.epoch = this->table.epoch();
    batch.sequence = this->lastSentSequence + 1;
    std::size_t bytes = 0;
    this->addResults(batch, bytes);
    for (auto &[attempt, pending] : this->releases) {
        pending.sentSequence = batch.sequence;
        batch.releases.push_back(pending.release);
    }
    this->addClaims(batch, bytes);
    if (batch.claims.empty() && batch.results.empty() && batch.releases.empty()) {
        return std::nullopt;
    }
    this->lastSentSequence = batch.sequence;
    return encodeClaimRecord(batch);
}

void ClaimOwner::addResults(ClaimBatch &batch, std::size_t &bytes)
{
    auto answerBytes = this->table.answerBytes();
    for (auto &[attempt, pending] : this->reports) {
        if (batch.results.size() + batch.releases.size() >= this->settings.maximumBatchEntries || bytes >= this->settings.maximumBatchBytes) {
            return;
        }
        const auto &report = pending.report;
        pending.sentSequence = batch.sequence;
        bytes += report.key.size() + entryOverheadBytes;
        if (!report.hasRun) {
            batch.releases.push_back(Release { report.key, attempt, true });
            continue;
        }
        auto fits = report.body.size() <= this->settings.maximumAnswerSize && answerBytes + report.body.size() <= this->settings.maximumAnswerBytes;
        auto isTooLarge = report.isTooLarge || !fits;
        auto body = isTooLarge ? std::string() : report.body;
        bytes += body.size();
        answerBytes += body.size();
        batch.results.push_back(Result { report.key, attempt, report.status, std::move(body), isTooLarge });
    }
}

void ClaimOwner::addClaims(ClaimBatch &batch, std::size_t &bytes)
{
    for (auto &[attempt, pending] : this->pendingClaims) {
        if (batch.claims.size() >= this->settings.maximumBatchEntries || bytes >= this->settings.maximumBatchBytes) {
            return;
        }
        // A claim that is already in the table only waits for its attempt's next request.
        if (pending.refusal || this->table.find(pending.claim.key) != nullptr) {
            continue;
        }
        pending.isSent = true;
        auto claim = pending.claim;
        claim.budget = pending.deadline - this->clock.now();
        bytes += claim.key.size() + entryOverheadBytes;
        batch.claims.push_back(std::move(claim));
    }
}

void ClaimOwner::handleRoundFailure(bool mayHaveTakenEffect)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    this->needsRead = true;
    if (!this->failingSince) {
        this->failingSince = now;
    }
    ++(mayHaveTakenEffect ? this->totalCounts.unknownAppends : this->totalCounts.failedAppends);
    // An append without an answer may have taken effect, so the stream is read again without backoff.
    constexpr unsigned largestShift = 4;
    auto factor = Duration::rep(1) << std::min(this->failures, largestShift);
    auto delay = mayHaveTakenEffect ? this->settings.appendInterval : std::min(maximumBackoff, this->settings.appendInterval * factor);
    ++this->failures;
    this->nextAppendAt = std::max(this->nextAppendAt, now + delay);
}

}
