#pragma once

#include <LibClaims/ClaimRecords.h>
#include <LibLog/LogService.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/** Log time for which a key is kept after the end of its window, so that late results are recorded. */
constexpr Duration lateResultPeriod = minutes(2);
/** Log time for which an epoch is valid. Owners renew their epochs, so that a reader finds a recent ownership record. */
constexpr Duration maximumEpochAge = minutes(5);
/** Log time that a reader must cover to know every key that can still be used. The log retains records for longer. */
constexpr Duration claimReadSpan = minutes(18);

enum class ClaimState {
    /** Claimed, without a recorded result. */
    Open,
    Finished,
};

/** State of a claimed key. */
struct ClaimEntry
{
    ClaimState state = ClaimState::Open;
    AttemptId attempt;
    Offset epoch;
    std::string requestHash;
    /** Log time at which an attempt without a result counts as unknown. */
    LogTime runDeadline;
    LogTime forgetAt;
    int status = 0;
    std::string body;
    bool isTooLarge = false;
};

enum class ClaimOutcome {
    Accepted,
    /** Another attempt holds the key. */
    KeyHeld,
    KeyReused,
    KeyTooOld,
    KeyInFuture,
};

struct AppliedClaim
{
    AttemptId attempt;
    ClaimOutcome outcome;
};

/** Effect of a record on the table. */
struct AppliedRecord
{
    bool isValid = false;
    /** Epoch and sequence of a batch; 0 for other records. */
    Offset epoch;
    std::uint64_t sequence = 0;
    std::vector<AppliedClaim> claims;
};

/**
 * State of one partition as a pure function of the records of its stream, applied in offset order. A batch is valid only
 * if its epoch is the newest ownership before it, that ownership isn't older than maximumEpochAge, and its sequence number
 * is higher than those of the earlier valid batches; so neither a paused owner nor a delayed or duplicated append has an
 * effect. Batches before the first ownership that the reader sees are ignored. This loses no usable key, because claimReadSpan
 * covers maximumEpochAge as well.
 */
class ClaimTable
{
public:
    AppliedRecord apply(const LogRecord &record);

    /** State of a scoped key; null if the key isn't claimed. */
    const ClaimEntry *find(const std::string &key) const;

    /** Offset of the newest ownership; 0 if there is none. */
    Offset epoch() const
    {
        return this->newestEpoch;
    }

    /** Record id of the newest ownership. */
    const RecordId &epochRecord() const
    {
        return this->newestOwnership;
    }

    LogTime epochStart() const
    {
        return this->newestEpochStart;
    }

    std::size_t size() const
    {
        return this->entries.size();
    }

    /** Total size of all recorded answers in bytes. */
    std::size_t answerBytes() const
    {
        return this->bodyBytes;
    }

    /** Removes keys that can't be used any more at the given log time. Has no effect on later decisions. */
    void forgetExpiredKeys(LogTime now);

private:
    AppliedRecord applyOwnership(Offset offset, LogTime appendedAt, const Ownership &ownership);
    AppliedRecord applyBatch(LogTime appendedAt, ClaimBatch &&batch);
    void applyResult(Result &&result);
    void applyRelease(const Release &release);
    ClaimOutcome applyClaim(Claim &&claim, Offset batchEpoch, LogTime appendedAt);

    Offset newestEpoch;
    RecordId newestOwnership;
    LogTime newestEpochStart;
    HostId ownerHost;
    Incarnation ownerIncarnation;
    /** First epoch of the current owner process since another process owned the partition. */
    Offset tenureStart;
    std::uint64_t lastSequence = 0;
    std::unordered_map<std::string, ClaimEntry> entries;
    std::size_t bodyBytes = 0;
    LogTime lastSweepAt;
};

}
