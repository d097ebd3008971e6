#pragma once

#include <LibConfig/EntityKey.h>
#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lovageward {

/** What became of a change. The numbers are part of the record format. */
enum class ChangeOutcome : std::uint8_t {
    Accepted = 1,
    /** `basedOn` was not the entity's version; an earlier record won. */
    Conflict = 2,
    /** The value can't be read, breaks a reference, or is still referred to. */
    Invalid = 3,
    /** The same record id was decided before; the record has no effect. */
    Duplicate = 4,
    /**
     * The record was appended too long after it was made, or its time lies in the future. It has no effect. An earlier copy of
     * it may have been decided otherwise, since record ids are not remembered for ever.
     */
    Expired = 5,
};

/** "accepted", "conflict", "invalid", "duplicate" or "expired". */
std::string_view outcomeName(ChangeOutcome outcome);

/** A change of one entity, as it stands in the `config` stream. */
struct ConfigChange
{
    RecordId recordId;
    /** Who made the change, for example the name of the role and key. */
    std::string actor;
    WallTime madeAt;
    EntityKey key;
    /** Version of the entity that the actor saw; 0 for a new entity. */
    Offset basedOn;
    /** JSON value; absent to delete the entity. */
    std::optional<std::string> value;
};

/** One entity in a checkpoint; a deleted one has no value but keeps its version. */
struct CheckpointEntity
{
    EntityKey key;
    Offset version;
    RecordId recordId;
    std::string actor;
    std::optional<std::string> value;
};

/** A recently decided record, kept so that duplicates and late questions about it get the same answer. */
struct RecentRecord
{
    RecordId recordId;
    Offset offset;
    LogTime appendedAt;
    ChangeOutcome outcome = ChangeOutcome::Invalid;
};

/** The complete state after the record at offset `asOf`. */
struct Checkpoint
{
    Offset asOf;
    std::vector<CheckpointEntity> entities;
    std::vector<RecentRecord> recent;
};

using ConfigRecord = std::variant<ConfigChange, Checkpoint>;

/** Longest encoded change in bytes. A longer record has no effect, so that every change fits into a message between nodes. */
constexpr std::size_t maximumChangeSize = std::size_t(32) * 1024;

/** msgpack payload of a record of the `config` stream. */
std::string encodeRecord(const ConfigRecord &record);

/** Throws Error(MalformedMessage) if the payload is no record of the `config` stream, for example because it is cut off or too long. */
ConfigRecord decodeRecord(const std::string &payload);

}
