#include <LibClaims/ClaimOwner.h>

#include <LibClaims/IdempotencyKey.h>
#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

// Maximum age of the last read for the answer `Unknown`, which is final.
constexpr Duration maximumReadAge = seconds(1);
constexpr Duration maximumBudget = minutes(10);

ResultCode refusalCodeFor(ClaimOutcome outcome)
{
    return outcome == ClaimOutcome::KeyTooOld ? ResultCode::IdempotencyKeyExpired : ResultCode::IdempotencyKeyInvalid;
}

ClaimAnswer refusal(ResultCode code)
{
    ClaimAnswer answer;
    answer.state = GrantState::Refused;
    answer.code = code;
    return answer;
}

ClaimAnswer answerWithState(GrantState state)
{
    ClaimAnswer answer;
    answer.state = state;
    return answer;
}

}

ClaimOwner::ClaimOwner(PartitionId partition,
                       LogService &log,
                       const Clock &clock,
                       RandomSource &random,
                       const HostId &host,
                       Incarnation incarnation,
                       const ClaimSettings &settings)
    : stream(streamOf(partition)), log(log), clock(clock), random(random), host(host), incarnation(incarnation), settings(settings)
{
}

ClaimAnswer ClaimOwner::submit(const ClaimRequest &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->closedAttempts.contains(request.attempt) || this->releases.contains(request.attempt)) {
        return refusal(ResultCode::DeadlineExceeded);
    }
    if (const auto *entry = this->table.find(request.key)) {
        if (auto answer = this->answerFromEntry(request, *entry)) {
            this->pendingClaims.erase(request.attempt);
            return *answer;
        }
    }
    auto pending = this->pendingClaims.find(request.attempt);
    if (pending != this->pendingClaims.end()) {
        return this->answerFromPending(request, pending->second);
    }
    return this->addPending(request);
}

ReportState ClaimOwner::report(const ClaimReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->reports.contains(report.attempt)) {
        return ReportState::Pending;
    }
    if (this->closedAttempts.contains(report.attempt)) {
        return ReportState::Recorded;
    }
    auto pending = this->pendingClaims.find(report.attempt);
    auto isUnsent = pending != this->pendingClaims.end() && !pending->second.isSent;
    auto isFull = this->reports.size() >= this->settings.maximumPending || this->reportBytes + report.body.size() > this->settings.maximumReportBytes;
    if (isFull && !isUnsent) {
        return ReportState::Pending;
    }
    this->pendingClaims.erase(report.attempt);
    this->closeAttempt(report.attempt);
    if (!report.hasRun && isUnsent) {
        return ReportState::Recorded;
    }
    this->reportBytes += report.body.size();
    this->reports.emplace(report.attempt, PendingReport { report, 0 });
    return ReportState::Pending;
}

void ClaimOwner::setAdmitting(bool admitting)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->isAdmitting = admitting;
    if (!admitting) {
        this->table.forgetExpiredKeys(this->estimateLogTime());
    }
}

bool ClaimOwner::hasWork() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->isReadRequested || !this->pendingClaims.empty() || !this->reports.empty() || !this->releases.empty();
}

ClaimOwnerCounts ClaimOwner::counts() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->totalCounts;
}

std::size_t ClaimOwner::rememberedKeyCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.size();
}

std::optional<ClaimAnswer> ClaimOwner::answerFromEntry(const ClaimRequest &request, const ClaimEntry &entry)
{
    auto isSameBody = entry.requestHash == request.requestHash;
    if (isSameBody && entry.state == ClaimState::Finished) {
        return ClaimAnswer { GrantState::Finished, ResultCode::Ok, entry.status, entry.body, entry.isTooLarge };
    }
    // Any other state may be outdated by records that this node has not read. Once its own ownership record is the newest, the
    // state is current.
    if (!this->ownsNewestEpoch()) {
        return std::nullopt;
    }
    if (!isSameBody) {
        return refusal(ResultCode::IdempotencyKeyReused);
    }
    if (entry.attempt == request.attempt) {
        return answerWithState(GrantState::Granted);
    }
    if (this->clock.now() > this->lastReadAt + maximumReadAge) {
        this->isReadRequested = true;
        return answerWithState(GrantState::AlreadyRunning);
    }
    auto isOverdue = this->estimateLogTime() >= entry.runDeadline;
    return answerWithState(isOverdue ? GrantState::Unknown : GrantState::AlreadyRunning);
}

ClaimAnswer ClaimOwner::answerFromPending(const ClaimRequest &request, PendingClaim &pending)
{
    if (pending.refusal) {
        auto code = refusalCodeFor(*pending.refusal);
        this->pendingClaims.erase(request.attempt);
        return refusal(code);
    }
    pending.deadline = std::max(pending.deadline, this->clock.now() + request.remaining);
    auto answer = answerWithState(GrantState::Pending);
    answer.code = this->failingSince ? ResultCode::LogUnavailable : ResultCode::Ok;
    return answer;
}

ClaimAnswer ClaimOwner::addPending(const ClaimRequest &request)
{
    // During an outage one queued claim probes the log; more would only occupy request threads.
    if (this->isLogDown() && !this->pendingClaims.empty()) {
        return refusal(ResultCode::LogUnavailable);
    }
    if (this->table.size() >= this->settings.maximumKeys) {
        this->table.forgetExpiredKeys(this->estimateLogTime());
    }
    if (!this->isAdmitting || this->pendingClaims.size() >= this->settings.maximumPending || this->table.size() >= this->settings.maximumKeys) {
        return refusal(ResultCode::ClaimRefused);
    }
    if (request.remaining <= Duration(0)) {
        return refusal(ResultCode::DeadlineExceeded);
    }
    PendingClaim pending;
    pending.claim = Claim { request.key, request.keyTime, request.requestHash, request.attempt, Duration(0) };
    pending.deadline = this->clock.now() + std::min(request.remaining, maximumBudget);
    this->pendingClaims.emplace(request.attempt, std::move(pending));
    return answerWithState(GrantState::Pending);
}

void ClaimOwner::closeAttempt(const AttemptId &attempt)
{
    if (!this->closedAttempts.insert(attempt).second) {
        return;
    }
    this->closedAttemptOrder.push_back(attempt);
    if (this->closedAttemptOrder.size() > this->settings.maximumClosedAttempts) {
        this->closedAttempts.erase(this->closedAttemptOrder.front());
        this->closedAttemptOrder.pop_front();
    }
}

bool ClaimOwner::ownsNewestEpoch() const
{
    return this->table.epoch() != Offset() && this->table.epochRecord() == this->ownershipId;
}

bool ClaimOwner::isLogDown() const
{
    return this->failingSince && this->clock.now() >= *this->failingSince + this->settings.outageDelay;
}

LogTime ClaimOwner::estimateLogTime() const
{
    return this->newestAppendTime + (this->clock.now() - this->newestAppendSeenAt);
}

void ClaimOwner::dropExpiredClaims()
{
    auto now = this->clock.now();
    for (auto position = this->pendingClaims.begin(); position != this->pendingClaims.end();) {
        const auto &pending = position->second;
        if (now < pending.deadline) {
            ++position;
            continue;
        }
        // The claim may have taken effect or still may. It was never granted, since a grant removes it from pendingClaims.
        if (pending.isSent && !pending.refusal) {
            Release release { pending.claim.key, pending.claim.attempt, false };
            this->releases.emplace(pending.claim.attempt, PendingRelease { release, 0 });
        }
        position = this->pendingClaims.erase(position);
    }
}

void ClaimOwner::removeDecidedClaims()
{
    if (!this->ownsNewestEpoch()) {
        return;
    }
    std::erase_if(this->pendingClaims, [&](const auto &item) {
        const auto *entry = this->table.find(item.second.claim.key);
        return entry != nullptr && entry->attempt != item.first;
    });
}

void ClaimOwner::eraseReport(std::unordered_map<AttemptId, PendingReport>::iterator position)
{
    this->reportBytes -= position->second.report.body.size();
    this->reports.erase(position);
}

}
