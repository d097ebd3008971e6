#include <LibConfig/ConfigState.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

// A delayed append may land up to this time after the change was made, which is longer than any client waits.
constexpr Duration longestDelay = minutes(30);
// Clocks of entry hosts and the log differ by far less.
constexpr Duration longestLead = minutes(10);
// Record ids are remembered for longer than any two copies of a record that aren't expired can be apart.
constexpr Duration recentTime = minutes(60);
static_assert(recentTime > longestDelay + longestLead);

bool isExpired(const ConfigChange &change, LogTime appendedAt)
{
    auto madeAt = LogTime(change.madeAt.time_since_epoch());
    return madeAt + longestDelay < appendedAt || appendedAt + longestLead < madeAt;
}

[[noreturn]] void rejectValue(const std::string &problem)
{
    throw Error(ResultCode::InvalidValue, RunState::NotRun, problem);
}

/** Keys of the entities that the given one refers to. */
std::vector<EntityKey> referencesOf(const Entity &entity)
{
    std::vector<EntityKey> references;
    if (const auto *workClass = std::get_if<WorkClass>(&entity)) {
        if (!workClass->model.isEmpty()) {
            references.push_back(EntityKey { EntityKind::Model, workClass->model.value() });
        }
        if (!workClass->pool.isEmpty()) {
            references.push_back(EntityKey { EntityKind::Pool, workClass->pool.value() });
        }
    }
    if (const auto *pool = std::get_if<Pool>(&entity)) {
        for (const auto &model : pool->models) {
            references.push_back(EntityKey { EntityKind::Model, model.value() });
        }
    }
    return references;
}

}

ConfigState::ConfigState(const Checkpoint &checkpoint) : applied(checkpoint.asOf)
{
    for (const auto &entry : checkpoint.entities) {
        VersionedEntity value { entry.version, entry.recordId, entry.actor, std::nullopt, entry.value.value_or("") };
        if (entry.value) {
            value.entity = decodeEntity(entry.key, *entry.value, UnknownFields::Ignore);
        }
        this->put(entry.key, std::move(value));
    }
    for (const auto &record : checkpoint.recent) {
        this->recent[record.recordId] = record;
    }
}

ChangeDecision ConfigState::apply(Offset offset, LogTime appendedAt, const ConfigChange &change)
{
    this->applied = offset;
    this->forgetOld(appendedAt);
    ChangeDecision decision;
    decision.change = change;
    decision.offset = offset;
    decision.appendedAt = appendedAt;
    if (this->recent.contains(change.recordId)) {
        decision.outcome = ChangeOutcome::Duplicate;
        return decision;
    }
    if (isExpired(change, appendedAt)) {
        decision.outcome = ChangeOutcome::Expired;
        decision.problem = "the record was appended more than 30 minutes after it was made, or the clock of its host is wrong";
        return decision;
    }
    this->decide(decision);
    this->remember(decision);
    return decision;
}

void ConfigState::decide(ChangeDecision &decision)
{
    const auto &change = decision.change;
    const auto *current = this->find(change.key);
    if (current != nullptr) {
        decision.winnerVersion = current->version;
        decision.winnerRecord = current->recordId;
        decision.winnerActor = current->actor;
        if (current->entity) {
            decision.oldValue = current->json;
        }
    }
    if (change.basedOn != decision.winnerVersion) {
        decision.outcome = ChangeOutcome::Conflict;
        return;
    }
    try {
        std::optional<Entity> entity;
        if (change.value) {
            entity = decodeEntity(change.key, *change.value, UnknownFields::Ignore);
            this->checkReferences(change.key, *entity);
        } else {
            this->requirePresent(change.key);
            this->checkUnused(change.key);
        }
        this->accept(decision, std::move(entity));
        decision.outcome = ChangeOutcome::Accepted;
    } catch (const std::exception &error) {
        decision.outcome = ChangeOutcome::Invalid;
        decision.problem = error.what();
    }
}

void ConfigState::accept(const ChangeDecision &decision, std::optional<Entity> entity)
{
    const auto &change = decision.change;
    auto json = entity ? encodeEntity(*entity) : std::string();
    this->put(change.key, VersionedEntity { decision.offset, change.recordId, change.actor, std::move(entity), std::move(json) });
}

void ConfigState::put(const EntityKey &key, VersionedEntity value)
{
    auto &slot = this->entities[key];
    this->indexKeys(slot, false);
    slot = std::move(value);
    this->indexKeys(slot, true);
}

void ConfigState::indexKeys(const VersionedEntity &value, bool isPresent)
{
    if (!value.entity || !std::holds_alternative<Team>(*value.entity)) {
        return;
    }
    const auto &team = std::get<Team>(*value.entity);
    for (const auto &keyHash : team.keyHashes) {
        if (isPresent) {
            this->teamsByKeyHash[keyHash] = team.id;
        } else {
            this->teamsByKeyHash.erase(keyHash);
        }
    }
}

void ConfigState::checkReferences(const EntityKey &key, const Entity &entity) const
{
    for (const auto &reference : referencesOf(entity)) {
        const auto *target = this->find(reference);
        if (target == nullptr || !target->entity) {
            rejectValue(fmt::format("{} refers to {}, which doesn't exist", toText(key), toText(reference)));
        }
    }
    const auto *team = std::get_if<Team>(&entity);
    if (team == nullptr) {
        return;
    }
    for (const auto &keyHash : team->keyHashes) {
        auto owner = this->teamOfKeyHash(keyHash);
        if (owner && *owner != team->id) {
            rejectValue(fmt::format("{}: field 'keyHashes' holds a key that belongs to another team", toText(key)));
        }
    }
}

void ConfigState::checkUnused(const EntityKey &key) const
{
    for (const auto &[otherKey, value] : this->entities) {
        if (!value.entity) {
            continue;
        }
        auto references = referencesOf(*value.entity);
        if (std::find(references.begin(), references.end(), key) != references.end()) {
            rejectValue(fmt::format("{} is still used by {}", toText(key), toText(otherKey)));
        }
    }
}

void ConfigState::requirePresent(const EntityKey &key) const
{
    const auto *current = this->find(key);
    if (current == nullptr || !current->entity) {
        rejectValue(fmt::format("{} doesn't exist", toText(key)));
    }
}

void ConfigState::remember(const ChangeDecision &decision)
{
    // Checkpoints carry milliseconds; a finer time here would let nodes forget the record at different offsets.
    auto appendedAt = fromMilliseconds<LogTime>(toMilliseconds(decision.appendedAt));
    this->recent[decision.change.recordId] = RecentRecord { decision.change.recordId, decision.offset, appendedAt, decision.outcome };
}

void ConfigState::forgetOld(LogTime now)
{
    std::erase_if(this->recent, [now](const auto &entry) { return entry.second.appendedAt + recentTime < now; });
}

void ConfigState::skip(Offset offset)
{
    this->applied = offset;
}

Checkpoint ConfigState::checkpoint() const
{
    Checkpoint checkpoint;
    checkpoint.asOf = this->applied;
    for (const auto &[key, value] : this->entities) {
        auto json = value.entity ? std::optional<std::string>(value.json) : std::nullopt;
        checkpoint.entities.push_back(CheckpointEntity { key, value.version, value.recordId, value.actor, std::move(json) });
    }
    for (const auto &[recordId, record] : this->recent) {
        checkpoint.recent.push_back(record);
    }
    return checkpoint;
}

const VersionedEntity *ConfigState::find(const EntityKey &key) const
{
    auto found = this->entities.find(key);
    return found == this->entities.end() ? nullptr : &found->second;
}

std::optional<TeamId> ConfigState::teamOfKeyHash(const std::string &keyHash) const
{
    auto found = this->teamsByKeyHash.find(keyHash);
    return found == this->teamsByKeyHash.end() ? std::nullopt : std::optional<TeamId>(found->second);
}

std::optional<RecentRecord> ConfigState::recentRecord(const RecordId &recordId) const
{
    auto found = this->recent.find(recordId);
    return found == this->recent.end() ? std::nullopt : std::optional<RecentRecord>(found->second);
}

}
