#pragma once

#include <LibConfig/AuditTrail.h>
#include <LibConfig/CheckpointAge.h>
#include <LibConfig/ConfigState.h>
#include <LibConfig/Configuration.h>
#include <LibConfig/ConfigurationObserver.h>
#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCore/RandomSource.h>
#include <LibLog/RecordHandler.h>

#include <condition_variable>
#include <set>

namespace Lovageward {

/** Name of the log stream that holds the configuration. */
inline const StreamName configStream { "config" };

/** A change as an operator asks for it. */
struct ChangeRequest
{
    /** Random; a caller that keeps it can ask for the outcome later. */
    RecordId recordId;
    std::string actor;
    EntityKey key;
    /** Version of the entity that the operator saw; 0 for a new entity. */
    Offset basedOn;
    /** JSON value; absent to delete the entity. */
    std::optional<std::string> value;
};

/**
 * The configuration of this node: follows the `config` stream and submits changes to it.
 * Thread-safe. Lock order: its mutex comes before those of the audit trail and of the counters; none is held during I/O.
 */
class ConfigStore final : public Configuration, public RecordHandler
{
public:
    ConfigStore(const Clock &clock, RandomSource &random, LogSink &sink, Counters &counters, LogService &log, AuditTrail &auditTrail);

    /** Adds an observer. Call before any thread feeds the store. */
    void addObserver(ConfigurationObserver &observer);

    // Changes.

    RecordId newRecordId();

    /**
     * Appends a change and waits until its decision is read back from the stream. The caller looks at the outcome.
     * Throws Error(InvalidValue, MalformedJson or LogUnavailable, not_run) if nothing was appended, and
     * Error(OutcomeUnknown, unknown) if the record was not read back by the deadline; decisionOn() may know it later.
     */
    ChangeDecision submit(const ChangeRequest &request, TimePoint deadline);

    /** First half of submit(): appends the change. Returns also if the log's answer was lost. Errors as for submit(). */
    void publish(const ChangeRequest &request, TimePoint deadline);

    /**
     * Decision on a record; absent if it is unknown or long past. For a record that was decided before the state from which
     * this node started, only its id, offset, time and outcome are known.
     */
    std::optional<ChangeDecision> decisionOn(const RecordId &recordId) const;

    // State of this node.

    /** True once the configuration is complete and was up to the end of the stream. Never becomes false again. */
    bool isReady() const;

    /** True while records have expired unread, so that a checkpoint or a peer's state is needed. */
    bool needsCheckpoint() const;

    /** True if the log answered a read at or after the given time. */
    bool hasReachedLogSince(TimePoint time) const;

    // Configuration.

    Offset appliedOffset() const override;
    std::optional<Team> teamByKey(std::string_view bearerKey) const override;
    std::optional<Team> team(const TeamId &id) const override;
    std::optional<WorkClass> workClass(const WorkClassId &id) const override;
    std::vector<WorkClass> workClasses() const override;
    std::vector<Model> models() const override;
    std::optional<Pool> pool(const PoolId &id) const override;
    std::vector<Pool> pools() const override;
    bool isDrained(const FailureDomainId &failureDomain) const override;
    std::vector<Team> teams() const;
    std::set<FailureDomainId> drainedDomains() const;

    /** The entity with its version, also if it is deleted; absent if it never existed. */
    std::optional<VersionedEntity> entity(const EntityKey &key) const;

    /** All entities of a kind that aren't deleted, sorted by id. */
    std::vector<std::pair<EntityKey, VersionedEntity>> entities(EntityKind kind) const;

    // Records of the `config` stream, from the log or from a peer.

    Offset nextOffset() const override;
    void applyRecord(const LogRecord &record) override;
    void noticeGap(Offset firstRetained) override;
    void noticeEnd(Offset end) override;

    /** A peer had no newer record than the given one, and no other live node is known to have. */
    void noticePeerEnd(Offset end);

    // Checkpoints and records for peers.

    /** The complete state; absent while a checkpoint is needed. */
    std::optional<Checkpoint> checkpoint() const;

    /** Takes the state from a peer if it is newer than the own one. Throws Error if a value can't be read. */
    void adoptCheckpoint(const Checkpoint &checkpoint);

    CheckpointAge checkpointAge() const;

    /**
     * Records from the given offset on, as far as `maximumBytes` of payload allow. Absent if records from there are no longer
     * kept. A checkpoint is replaced by an empty payload, which has no effect.
     */
    std::optional<std::vector<LogRecord>> recordsFrom(Offset from, std::size_t maximumBytes) const;

private:
    /** Records kept for peers that are behind; with up to 1,000 changes an hour this covers an hour of partition. */
    static constexpr std::size_t keptRecords = 1000;

    template<typename Value>
    std::optional<Value> valueOf(const EntityKey &key) const;
    template<typename Value>
    std::vector<Value> valuesOf(EntityKind kind) const;

    std::optional<ChangeDecision> decisionLocked(const RecordId &recordId) const;
    void applyLocked(const LogRecord &record);
    void applyChangeLocked(const LogRecord &record, const ConfigChange &change);
    void countDecision(ChangeOutcome outcome);
    void applyCheckpointLocked(const LogRecord &record, const Checkpoint &checkpoint);
    void bufferLocked(const LogRecord &record);
    void adoptLocked(const Checkpoint &checkpoint);
    void replayBufferedLocked();
    void keepLocked(const LogRecord &record, bool isCheckpoint);
    void noticeCaughtUpLocked(Offset end);
    void notifyObservers(Offset before);

    const Clock &clock;
    RandomSource &random;
    Logger logger;
    LogService &log;
    AuditTrail &auditTrail;
    Counter &accepted;
    Counter &conflicts;
    Counter &invalid;
    Counter &expired;
    Counter &malformed;
    Counter &divergences;
    Counter &appliedGauge;
    Counter &readyGauge;
    std::vector<ConfigurationObserver *> observers;

    mutable std::mutex mutex;
    std::condition_variable decided;
    ConfigState state;
    /** Newest record that was applied, or buffered while a checkpoint is needed. */
    Offset position;
    /** While a checkpoint is needed: first offset that was retained after the gap, and the records from there. */
    std::optional<Offset> gapEnd;
    std::vector<LogRecord> buffered;
    CheckpointAge age;
    std::deque<LogRecord> kept;
    /** Records up to this offset are not in `kept`. */
    Offset keptAfter;
    std::optional<TimePoint> logReachedAt;
    bool ready = false;
};

}
