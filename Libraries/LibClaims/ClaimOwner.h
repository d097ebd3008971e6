#pragma once

#include <LibClaims/ClaimMessages.h>
#include <LibClaims/ClaimPartition.h>
#include <LibClaims/ClaimTable.h>
#include <LibCore/Clock.h>
#include <LibCore/RandomSource.h>
#include <LibLog/LogService.h>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Lovageward {

constexpr std::size_t kibibyte = 1024;

struct ClaimSettings
{
    /** Minimum time between two appends of a partition: at most 5 appends/s, 320/s over all partitions. */
    Duration appendInterval = milliseconds(200);
    /** Timeout of each append and read-back, which bounds how long a round blocks. The next batch settles an unknown outcome. */
    Duration appendTimeout = seconds(1);
    /** Age at which the owner renews its epoch; well below maximumEpochAge. */
    Duration epochRenewal = minutes(4);
    /** Time for which the log must have failed before new claims are refused. One claim is still accepted, to probe the log. */
    Duration outageDelay = seconds(2);
    /** Limits per partition. Keys above them are refused; answers above them are recorded by their status only. */
    std::size_t maximumPending = 512;
    std::size_t maximumKeys = 8192;
    std::size_t maximumAnswerBytes = 256 * kibibyte;
    std::size_t maximumReportBytes = 256 * kibibyte;
    /** Maximum size in bytes of one recorded answer. Larger ones are recorded by their status only. */
    std::size_t maximumAnswerSize = 16 * kibibyte;
    std::size_t maximumBatchEntries = 256;
    std::size_t maximumBatchBytes = 128 * kibibyte;
    /** Maximum number of keys over all partitions of a node; checked once a second. */
    std::size_t maximumKeysPerNode = 65536;
    /** Maximum number of requests that wait in the service at a time. Further ones get Pending at once and must be repeated. */
    unsigned maximumWaiters = 8;
    /** Maximum number of reported attempts that are kept, so that their late requests are refused. */
    std::size_t maximumClosedAttempts = 1024;
};

/** Totals of one owner since its start. */
struct ClaimOwnerCounts
{
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t failedAppends = 0;
    std::uint64_t unknownAppends = 0;
    std::uint64_t acceptedClaims = 0;
    std::uint64_t releases = 0;
    std::uint64_t ownerships = 0;
};

/**
 * Decides the claims of one partition while this node owns it. submit() and report() never wait for the log and are
 * thread-safe. step() runs one round of append and read-back and is called by one thread at a time. The mutex isn't held
 * during calls of the log.
 *
 * Entries of a batch whose append has an unknown outcome stay queued and are sent again in the next batch, which has a higher
 * sequence number. Once that batch is read back, the earlier one precedes it in the stream or can never become valid.
 */
class ClaimOwner
{
public:
    ClaimOwner(PartitionId partition,
               LogService &log,
               const Clock &clock,
               RandomSource &random,
               const HostId &host,
               Incarnation incarnation,
               const ClaimSettings &settings);

    /** Registers an attempt, or returns the current state of a registered one. */
    ClaimAnswer submit(const ClaimRequest &request);

    /** Registers the outcome of an attempt, or returns whether it is recorded already. */
    ReportState report(const ClaimReport &report);

    /** Runs one round if it is due. Returns the time of the next call, or TimePoint::max() if the owner has no work. */
    TimePoint step();

    /** Enables or disables new claims. The service disables them while the node holds too many keys. */
    void setAdmitting(bool admitting);

    /** True if a claim, report, release or requested read waits for the log. */
    bool hasWork() const;

    ClaimOwnerCounts counts() const;
    std::size_t rememberedKeyCount() const;

private:
    struct PendingClaim
    {
        Claim claim;
        TimePoint deadline;
        /** True once a batch that carries the claim may have been appended. */
        bool isSent = false;
        std::optional<ClaimOutcome> refusal;
    };

    struct PendingReport
    {
        ClaimReport report;
        /** Sequence number of the last batch that carried the report; 0 if none did in this epoch. */
        std::uint64_t sentSequence = 0;
    };

    struct PendingRelease
    {
        Release release;
        /** Sequence number of the last batch that carried the release; 0 if none did in this epoch. */
        std::uint64_t sentSequence = 0;
    };

    std::optional<ClaimAnswer> answerFromEntry(const ClaimRequest &request, const ClaimEntry &entry);
    ClaimAnswer answerFromPending(const ClaimRequest &request, PendingClaim &pending);
    ClaimAnswer addPending(const ClaimRequest &request);
    void closeAttempt(const AttemptId &attempt);
    bool ownsNewestEpoch() const;
    bool isLogDown() const;
    LogTime estimateLogTime() const;
    void dropExpiredClaims();
    void removeDecidedClaims();
    void eraseReport(std::unordered_map<AttemptId, PendingReport>::iterator position);

    void runRound();
    void readToEnd(TimePoint deadline);
    Offset findStartOffset();
    void applyRead(const LogReadResult &result);
    void handleAppliedRecord(const AppliedRecord &applied);
    void handleOwnBatch(const AppliedRecord &applied);
    bool needsEpoch() const;
    std::string buildOwnership();
    std::optional<std::string> buildBatch();
    void addResults(ClaimBatch &batch, std::size_t &bytes);
    void addClaims(ClaimBatch &batch, std::size_t &bytes);
    void append(const std::string &payload);
    void handleRoundFailure(bool mayHaveTakenEffect);

    StreamName stream;
    LogService &log;
    const Clock &clock;
    RandomSource &random;
    HostId host;
    Incarnation incarnation;
    ClaimSettings settings;

    mutable std::mutex mutex;
    ClaimTable table;
    /** Next offset to read; 0 before the first read. */
    Offset nextOffset;
    LogTime newestAppendTime;
    TimePoint newestAppendSeenAt;
    TimePoint lastReadAt;
    /** True if the end of the stream must be read before the next append. */
    bool needsRead = true;
    bool isAdmitting = true;
    /** True if a repeated request waits for a more recent read of the log. */
    bool isReadRequested = false;
    RecordId ownershipId;
    /** Newest ownership of the partition when the record `ownershipId` was first sent. */
    RecordId ownershipBase;
    TimePoint ownershipSentAt;
    bool mustRenewEpoch = false;
    bool hadEpoch = false;
    std::uint64_t lastSentSequence = 0;
    /** Sequence number of the newest batch of the epoch that was read back as valid. */
    std::uint64_t lastValidSequence = 0;
    TimePoint nextAppendAt;
    std::optional<TimePoint> failingSince;
    unsigned failures = 0;
    std::unordered_map<AttemptId, PendingClaim> pendingClaims;
    std::unordered_map<AttemptId, PendingReport> reports;
    std::size_t reportBytes = 0;
    /** Releases of claims that this owner sent but never granted. */
    std::unordered_map<AttemptId, PendingRelease> releases;
    /** Attempts that have been reported on. A request that arrives later must not claim the key, since no runner would use it. */
    std::unordered_set<AttemptId> closedAttempts;
    /** Elements of `closedAttempts`, oldest first. */
    std::deque<AttemptId> closedAttemptOrder;
    ClaimOwnerCounts totalCounts;
};

}
