#include <LibConfig/ConfigStore.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

std::string outcomeSeries(ChangeOutcome outcome)
{
    return fmt::format("lovageward_config_changes_total{{outcome=\"{}\"}}", outcomeName(outcome));
}

/** Two checkpoints are equal if their encodings are, since entities are sorted and values are written in one form. */
bool isSameState(const Checkpoint &left, const Checkpoint &right)
{
    return encodeRecord(left) == encodeRecord(right);
}

}

ConfigStore::ConfigStore(const Clock &clock, RandomSource &random, LogSink &sink, Counters &counters, LogService &log, AuditTrail &auditTrail)
    : clock(clock)
    , random(random)
    , logger(sink, "config")
    , log(log)
    , auditTrail(auditTrail)
    , accepted(counters.counter(outcomeSeries(ChangeOutcome::Accepted)))
    , conflicts(counters.counter(outcomeSeries(ChangeOutcome::Conflict)))
    , invalid(counters.counter(outcomeSeries(ChangeOutcome::Invalid)))
    , expired(counters.counter(outcomeSeries(ChangeOutcome::Expired)))
    , malformed(counters.counter("lovageward_config_malformed_records_total"))
    , divergences(counters.counter("lovageward_config_divergences_total"))
    , appliedGauge(counters.counter("lovageward_config_applied_offset"))
    , readyGauge(counters.counter("lovageward_config_ready"))
{
}

void ConfigStore::addObserver(ConfigurationObserver &observer)
{
    this->observers.push_back(&observer);
}

RecordId ConfigStore::newRecordId()
{
    return RecordId(this->random.hexId());
}

ChangeDecision ConfigStore::submit(const ChangeRequest &request, TimePoint deadline)
{
    this->publish(request, deadline);
    std::unique_lock<std::mutex> guard(this->mutex);
    while (true) {
        if (auto decision = this->decisionLocked(request.recordId)) {
            return *decision;
        }
        auto now = this->clock.now();
        if (now >= deadline) {
            throw Error(ResultCode::OutcomeUnknown,
                        RunState::Unknown,
                        fmt::format("the change was not read back in time; ask later for record {}", request.recordId.value()));
        }
        this->decided.wait_for(guard, deadline - now);
    }
}

void ConfigStore::publish(const ChangeRequest &request, TimePoint deadline)
{
    auto value = request.value;
    if (value) {
        value = encodeEntity(decodeEntity(request.key, *value, UnknownFields::Reject));
    }
    auto payload = encodeRecord(ConfigChange { request.recordId, request.actor, this->clock.wallNow(), request.key, request.basedOn, value });
    if (payload.size() > maximumChangeSize) {
        throw Error(ResultCode::InvalidValue, RunState::NotRun, fmt::format("the change is longer than {} bytes", maximumChangeSize));
    }
    try {
        this->log.append(configStream, payload, deadline);
    } catch (const Error &error) {
        if (error.code() != ResultCode::OutcomeUnknown) {
            throw;
        }
        this->logger.info("record {} may have been appended: {}", request.recordId.value(), error.what());
    }
}

std::optional<ChangeDecision> ConfigStore::decisionOn(const RecordId &recordId) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->decisionLocked(recordId);
}

std::optional<ChangeDecision> ConfigStore::decisionLocked(const RecordId &recordId) const
{
    if (auto decision = this->auditTrail.find(recordId)) {
        return decision;
    }
    auto recent = this->state.recentRecord(recordId);
    if (!recent) {
        return std::nullopt;
    }
    ChangeDecision decision;
    decision.change.recordId = recordId;
    decision.offset = recent->offset;
    decision.appendedAt = recent->appendedAt;
    decision.outcome = recent->outcome;
    return decision;
}

bool ConfigStore::isReady() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->ready;
}

bool ConfigStore::needsCheckpoint() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->gapEnd.has_value();
}

bool ConfigStore::hasReachedLogSince(TimePoint time) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->logReachedAt && *this->logReachedAt >= time;
}

Offset ConfigStore::nextOffset() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return Offset(this->position.value() + 1);
}

void ConfigStore::applyRecord(const LogRecord &record)
{
    Offset before;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        if (record.offset <= this->position) {
            return;
        }
        before = this->state.appliedOffset();
        this->position = record.offset;
        if (this->gapEnd) {
            this->bufferLocked(record);
        } else {
            this->applyLocked(record);
        }
    }
    this->decided.notify_all();
    this->notifyObservers(before);
}

void ConfigStore::applyLocked(const LogRecord &record)
{
    auto isCheckpoint = record.payload.empty();
    try {
        if (isCheckpoint) {
            this->state.skip(record.offset);
        } else {
            auto content = decodeRecord(record.payload);
            if (const auto *change = std::get_if<ConfigChange>(&content)) {
                this->applyChangeLocked(record, *change);
            } else {
                isCheckpoint = true;
                this->applyCheckpointLocked(record, std::get<Checkpoint>(content));
            }
        }
    } catch (const Error &error) {
        this->malformed.add();
        this->logger.warning("record at offset {} has no effect: {}", record.offset.value(), error.what());
        this->state.skip(record.offset);
    }
    this->keepLocked(record, isCheckpoint);
    this->appliedGauge.set(static_cast<std::int64_t>(record.offset.value()));
}

void ConfigStore::applyChangeLocked(const LogRecord &record, const ConfigChange &change)
{
    this->age.noteRecord(record.offset, record.appendedAt, true);
    auto decision = this->state.apply(record.offset, record.appendedAt, change);
    if (decision.outcome == ChangeOutcome::Duplicate) {
        return;
    }
    this->auditTrail.add(decision);
    this->countDecision(decision.outcome);
    this->logger.info("change of {} by {} at offset {}: {}", toText(change.key), change.actor, record.offset.value(), outcomeName(decision.outcome));
}

void ConfigStore::countDecision(ChangeOutcome outcome)
{
    if (outcome == ChangeOutcome::Accepted) {
        this->accepted.add();
    } else if (outcome == ChangeOutcome::Conflict) {
        this->conflicts.add();
    } else if (outcome == ChangeOutcome::Expired) {
        this->expired.add();
    } else {
        this->invalid.add();
    }
}

void ConfigStore::applyCheckpointLocked(const LogRecord &record, const Checkpoint &checkpoint)
{
    // Only a state of the same offset can be compared; that is the usual case, since changes are rare.
    if (checkpoint.asOf == this->state.appliedOffset() && !isSameState(checkpoint, this->state.checkpoint())) {
        this->divergences.add();
        this->logger.error("the checkpoint at offset {} differs from this node's state", record.offset.value());
    }
    this->state.skip(record.offset);
    this->age.noteRecord(record.offset, record.appendedAt, false);
    this->age.noteCheckpoint(checkpoint.asOf);
}

void ConfigStore::noticeGap(Offset firstRetained)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    // The missing records may have come from a peer since the read began.
    if (firstRetained.value() <= this->position.value() + 1) {
        return;
    }
    this->position = Offset(firstRetained.value() - 1);
    this->gapEnd = firstRetained;
    this->buffered.clear();
    this->logger.warning("records up to offset {} have expired unread; waiting for a checkpoint", this->position.value());
}

void ConfigStore::bufferLocked(const LogRecord &record)
{
    this->buffered.push_back(record);
    try {
        auto content = decodeRecord(record.payload);
        const auto *checkpoint = std::get_if<Checkpoint>(&content);
        // Records between the checkpoint's state and the first retained one would be missing.
        auto isUsable = checkpoint != nullptr && checkpoint->asOf.value() + 1 >= this->gapEnd->value();
        if (isUsable) {
            this->adoptLocked(*checkpoint);
            this->replayBufferedLocked();
        }
    } catch (const Error &error) {
        this->logger.warning("record at offset {} gives no state: {}", record.offset.value(), error.what());
    }
}

void ConfigStore::adoptLocked(const Checkpoint &checkpoint)
{
    this->state = ConfigState(checkpoint);
    this->gapEnd.reset();
    this->age = CheckpointAge();
    this->kept.clear();
    this->keptAfter = checkpoint.asOf;
    this->appliedGauge.set(static_cast<std::int64_t>(checkpoint.asOf.value()));
    this->logger.info("started from the state as of offset {}", checkpoint.asOf.value());
}

void ConfigStore::replayBufferedLocked()
{
    auto records = std::move(this->buffered);
    this->buffered.clear();
    for (const auto &record : records) {
        if (record.offset > this->state.appliedOffset()) {
            this->applyLocked(record);
        }
    }
}

void ConfigStore::adoptCheckpoint(const Checkpoint &checkpoint)
{
    Offset before;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto coversGap = !this->gapEnd || checkpoint.asOf.value() + 1 >= this->gapEnd->value();
        before = this->state.appliedOffset();
        if (checkpoint.asOf <= before || !coversGap) {
            return;
        }
        this->adoptLocked(checkpoint);
        // A peer's state doesn't tell when its records were appended. Counting from now only delays this node's own turn to
        // write a checkpoint; the nodes that read those records keep the earlier time.
        this->age.noteRecord(checkpoint.asOf, LogTime(this->clock.wallNow().time_since_epoch()), false);
        this->replayBufferedLocked();
        this->position = std::max(this->position, this->state.appliedOffset());
    }
    this->decided.notify_all();
    this->notifyObservers(before);
}

void ConfigStore::keepLocked(const LogRecord &record, bool isCheckpoint)
{
    this->kept.push_back(isCheckpoint ? LogRecord { record.offset, record.appendedAt, std::string() } : record);
    if (record.payload.size() > maximumChangeSize) {
        this->kept.back().payload.clear();
    }
    while (this->kept.size() > keptRecords) {
        this->keptAfter = this->kept.front().offset;
        this->kept.pop_front();
    }
}

void ConfigStore::noticeEnd(Offset end)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->logReachedAt = this->clock.now();
    this->noticeCaughtUpLocked(end);
}

void ConfigStore::noticePeerEnd(Offset end)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->noticeCaughtUpLocked(end);
}

void ConfigStore::noticeCaughtUpLocked(Offset end)
{
    if (this->ready || this->gapEnd || this->state.appliedOffset() < end) {
        return;
    }
    this->ready = true;
    this->readyGauge.set(1);
    this->logger.info("the configuration is complete up to offset {}", this->state.appliedOffset().value());
}

void ConfigStore::notifyObservers(Offset before)
{
    auto applied = this->appliedOffset();
    if (applied <= before) {
        return;
    }
    for (auto *observer : this->observers) {
        observer->configurationChanged(applied);
    }
}

std::optional<Checkpoint> ConfigStore::checkpoint() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->gapEnd ? std::nullopt : std::optional<Checkpoint>(this->state.checkpoint());
}

CheckpointAge ConfigStore::checkpointAge() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->age;
}

std::optional<std::vector<LogRecord>> ConfigStore::recordsFrom(Offset from, std::size_t maximumBytes) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (from <= this->keptAfter) {
        return std::nullopt;
    }
    std::vector<LogRecord> records;
    std::size_t bytes = 0;
    for (const auto &record : this->kept) {
        if (record.offset < from) {
            continue;
        }
        bytes += record.payload.size();
        if (bytes > maximumBytes) {
            break;
        }
        records.push_back(record);
    }
    return records;
}

}
