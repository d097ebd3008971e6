#include <LibClaims/ClaimTable.h>

#include <LibClaims/IdempotencyKey.h>

namespace Lovageward {

static_assert(claimReadSpan >= idempotencyWindow + idempotencyFutureLimit + lateResultPeriod + maximumEpochAge);

AppliedRecord ClaimTable::apply(const LogRecord &record)
{
    this->forgetExpiredKeys(record.appendedAt);
    auto decoded = decodeClaimRecord(record.payload);
    if (!decoded) {
        return {};
    }
    if (const auto *ownership = std::get_if<Ownership>(&*decoded)) {
        return this->applyOwnership(record.offset, record.appendedAt, *ownership);
    }
    return this->applyBatch(record.appendedAt, std::move(std::get<ClaimBatch>(*decoded)));
}

const ClaimEntry *ClaimTable::find(const std::string &key) const
{
    auto position = this->entries.find(key);
    return position == this->entries.end() ? nullptr : &position->second;
}

void ClaimTable::forgetExpiredKeys(LogTime now)
{
    constexpr Duration sweepInterval = seconds(10);
    if (now < this->lastSweepAt + sweepInterval) {
        return;
    }
    this->lastSweepAt = now;
    std::erase_if(this->entries, [&](const auto &item) {
        if (item.second.forgetAt > now) {
            return false;
        }
        this->bodyBytes -= item.second.body.size();
        return true;
    });
}

AppliedRecord ClaimTable::applyOwnership(Offset offset, LogTime appendedAt, const Ownership &ownership)
{
    if (ownership.id == this->newestOwnership) {
        // A duplicate of the ownership append. The epoch that the owner uses stays valid.
        return {};
    }
    if (ownership.host != this->ownerHost || ownership.incarnation != this->ownerIncarnation) {
        this->tenureStart = offset;
    }
    this->ownerHost = ownership.host;
    this->ownerIncarnation = ownership.incarnation;
    this->newestEpoch = offset;
    this->newestOwnership = ownership.id;
    this->newestEpochStart = appendedAt;
    this->lastSequence = 0;
    AppliedRecord applied;
    applied.isValid = true;
    return applied;
}

AppliedRecord ClaimTable::applyBatch(LogTime appendedAt, ClaimBatch &&batch)
{
    AppliedRecord applied;
    applied.epoch = batch.epoch;
    applied.sequence = batch.sequence;
    auto isCurrent = this->newestEpoch != Offset() && batch.epoch == this->newestEpoch && appendedAt <= this->newestEpochStart + maximumEpochAge;
    if (!isCurrent || batch.sequence <= this->lastSequence) {
        return applied;
    }
    this->lastSequence = batch.sequence;
    applied.isValid = true;
    for (auto &result : batch.results) {
        this->applyResult(std::move(result));
    }
    for (const auto &release : batch.releases) {
        this->applyRelease(release);
    }
    for (auto &claim : batch.claims) {
        auto attempt = claim.attempt;
        applied.claims.push_back(AppliedClaim { attempt, this->applyClaim(std::move(claim), batch.epoch, appendedAt) });
    }
    return applied;
}

void ClaimTable::applyResult(Result &&result)
{
    auto position = this->entries.find(result.key);
    if (position == this->entries.end()) {
        return;
    }
    auto &entry = position->second;
    if (entry.state != ClaimState::Open || entry.attempt != result.attempt) {
        return;
    }
    entry.state = ClaimState::Finished;
    entry.status = result.status;
    entry.isTooLarge = result.isTooLarge;
    entry.body = std::move(result.body);
    this->bodyBytes += entry.body.size();
}

void ClaimTable::applyRelease(const Release &release)
{
    auto position = this->entries.find(release.key);
    if (position == this->entries.end()) {
        return;
    }
    const auto &entry = position->second;
    // An owner knows only its own grants. An earlier owner may have granted a claim that was made before the current tenure.
    auto isAllowed = release.isByRunner || entry.epoch >= this->tenureStart;
    if (entry.state == ClaimState::Open && entry.attempt == release.attempt && isAllowed) {
        this->entries.erase(position);
    }
}

ClaimOutcome ClaimTable::applyClaim(Claim &&claim, Offset batchEpoch, LogTime appendedAt)
{
    auto position = this->entries.find(claim.key);
    if (position != this->entries.end()) {
        if (position->second.requestHash != claim.requestHash) {
            return ClaimOutcome::KeyReused;
        }
        return position->second.attempt == claim.attempt ? ClaimOutcome::Accepted : ClaimOutcome::KeyHeld;
    }
    switch (IdempotencyKey::ageAt(claim.keyTime, appendedAt)) {
    case KeyAge::TooOld:
        return ClaimOutcome::KeyTooOld;
    case KeyAge::InFuture:
        return ClaimOutcome::KeyInFuture;
    case KeyAge::Usable:
        break;
    }
    ClaimEntry entry;
    entry.attempt = claim.attempt;
    entry.epoch = batchEpoch;
    entry.requestHash = std::move(claim.requestHash);
    entry.runDeadline = appendedAt + claim.budget;
    entry.forgetAt = claim.keyTime + idempotencyWindow + lateResultPeriod;
    this->entries.emplace(std::move(claim.key), std::move(entry));
    return ClaimOutcome::Accepted;
}

}
