#pragma once

#include <LibConfig/ConfigRecords.h>
#include <LibConfig/EntityCodec.h>

#include <map>
#include <unordered_map>

namespace Lovageward {

/** The decision on one change, for the submitter and for the audit trail. */
struct ChangeDecision
{
    ConfigChange change;
    /** Where the record stands in the stream. An accepted change gives the entity this version. */
    Offset offset;
    LogTime appendedAt;
    ChangeOutcome outcome = ChangeOutcome::Invalid;
    /** Value before the change; absent if the entity did not exist. */
    std::optional<std::string> oldValue;
    /** For a conflict: version, record and actor of the change that won. Version 0 means that the entity never existed. */
    Offset winnerVersion;
    RecordId winnerRecord;
    std::string winnerActor;
    /** For an invalid or expired change: what is wrong with it. */
    std::string problem;
};

/** A configured thing with its version and the change that gave it that version. */
struct VersionedEntity
{
    Offset version;
    RecordId recordId;
    std::string actor;
    /** Absent for a deleted entity, whose version remains so that a delayed old change can't revive it. */
    std::optional<Entity> entity;
    /** JSON form of the entity. */
    std::string json;
};

/**
 * The configuration as a function of the records of the `config` stream. Every node comes to the same state, so a decision
 * may depend on nothing but the records: no local clock, no setting, no field that only newer versions know.
 */
class ConfigState
{
public:
    ConfigState() = default;

    /** State after the checkpoint's offset. Throws Error(InvalidValue) or Error(MalformedJson) if a value can't be read. */
    explicit ConfigState(const Checkpoint &checkpoint);

    /** Decides on a change. Records must come in offset order. */
    ChangeDecision apply(Offset offset, LogTime appendedAt, const ConfigChange &change);

    /** Moves past a record that doesn't change the state. */
    void skip(Offset offset);

    Checkpoint checkpoint() const;

    /** Offset of the newest record that was applied or skipped. */
    Offset appliedOffset() const
    {
        return this->applied;
    }

    /** The entity, also if it is deleted; nullptr if it never existed. */
    const VersionedEntity *find(const EntityKey &key) const;

    /** All entities, including deleted ones, sorted by key. */
    const std::map<EntityKey, VersionedEntity> &all() const
    {
        return this->entities;
    }

    /** Team that owns the key hash. */
    std::optional<TeamId> teamOfKeyHash(const std::string &keyHash) const;

    /** Decision on a record within the last hour of log time. */
    std::optional<RecentRecord> recentRecord(const RecordId &recordId) const;

private:
    void decide(ChangeDecision &decision);
    void accept(const ChangeDecision &decision, std::optional<Entity> entity);
    void put(const EntityKey &key, VersionedEntity value);
    void indexKeys(const VersionedEntity &value, bool isPresent);
    void checkReferences(const EntityKey &key, const Entity &entity) const;
    void checkUnused(const EntityKey &key) const;
    void requirePresent(const EntityKey &key) const;
    void remember(const ChangeDecision &decision);
    void forgetOld(LogTime now);

    Offset applied;
    std::map<EntityKey, VersionedEntity> entities;
    std::unordered_map<std::string, TeamId> teamsByKeyHash;
    std::map<RecordId, RecentRecord> recent;
};

}
