#include <LibConfig/ConfigRecords.h>

#include <LibCore/Error.h>

#include <fmt/format.h>
#include <msgpack.hpp>

#include <stdexcept>

namespace Lovageward {

namespace {

constexpr std::uint8_t changeTag = 1;
constexpr std::uint8_t checkpointTag = 2;

struct WireChange
{
    std::string recordId;
    std::string actor;
    std::int64_t madeAtMs = 0;
    std::string key;
    std::uint64_t basedOn = 0;
    bool hasValue = false;
    std::string value;
    MSGPACK_DEFINE(recordId, actor, madeAtMs, key, basedOn, hasValue, value)
};

struct WireEntity
{
    std::string key;
    std::uint64_t version = 0;
    std::string recordId;
    std::string actor;
    bool hasValue = false;
    std::string value;
    MSGPACK_DEFINE(key, version, recordId, actor, hasValue, value)
};

struct WireRecent
{
    std::string recordId;
    std::uint64_t offset = 0;
    std::int64_t appendedAtMs = 0;
    std::uint8_t outcome = 0;
    MSGPACK_DEFINE(recordId, offset, appendedAtMs, outcome)
};

struct WireCheckpoint
{
    std::uint64_t asOf = 0;
    std::vector<WireEntity> entities;
    std::vector<WireRecent> recent;
    MSGPACK_DEFINE(asOf, entities, recent)
};

std::optional<std::string> optionalText(bool isPresent, std::string text)
{
    return isPresent ? std::optional<std::string>(std::move(text)) : std::nullopt;
}

WireChange toWire(const ConfigChange &change)
{
    return WireChange { change.recordId.value(),  change.actor,           toMilliseconds(change.madeAt),
                        toText(change.key),       change.basedOn.value(), change.value.has_value(),
                        change.value.value_or("") };
}

ConfigChange fromWire(const WireChange &wire)
{
    return ConfigChange { RecordId(wire.recordId),  wire.actor,           fromMilliseconds<WallTime>(wire.madeAtMs),
                          parseEntityKey(wire.key), Offset(wire.basedOn), optionalText(wire.hasValue, wire.value) };
}

WireCheckpoint toWire(const Checkpoint &checkpoint)
{
    WireCheckpoint wire;
    wire.asOf = checkpoint.asOf.value();
    for (const auto &entity : checkpoint.entities) {
        wire.entities.push_back(WireEntity {
            toText(entity.key), entity.version.value(), entity.recordId.value(), entity.actor, entity.value.has_value(), entity.value.value_or("") });
    }
    for (const auto &record : checkpoint.recent) {
        wire.recent.push_back(
            WireRecent { record.recordId.value(), record.offset.value(), toMilliseconds(record.appendedAt), static_cast<std::uint8_t>(record.outcome) });
    }
    return wire;
}

Checkpoint fromWire(const WireCheckpoint &wire)
{
    Checkpoint checkpoint;
    checkpoint.asOf = Offset(wire.asOf);
    for (const auto &entity : wire.entities) {
        checkpoint.entities.push_back(CheckpointEntity {
            parseEntityKey(entity.key), Offset(entity.version), RecordId(entity.recordId), entity.actor, optionalText(entity.hasValue, entity.value) });
    }
    for (const auto &record : wire.recent) {
        checkpoint.recent.push_back(RecentRecord {
            RecordId(record.recordId), Offset(record.offset), fromMilliseconds<LogTime>(record.appendedAtMs), static_cast<ChangeOutcome>(record.outcome) });
    }
    return checkpoint;
}

template<typename Wire>
std::string pack(std::uint8_t tag, const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(tag);
    packer.pack(wire);
    return std::string(buffer.data(), buffer.size());
}

ConfigRecord unpack(const std::string &payload)
{
    auto handle = msgpack::unpack(payload.data(), payload.size());
    auto parts = handle.get().as<std::vector<msgpack::object>>();
    if (parts.size() != 2) {
        throw msgpack::type_error();
    }
    switch (parts.front().as<std::uint8_t>()) {
    case changeTag:
        if (payload.size() > maximumChangeSize) {
            throw std::length_error("the change is too long");
        }
        return fromWire(parts.back().as<WireChange>());
    case checkpointTag:
        return fromWire(parts.back().as<WireCheckpoint>());
    default:
        throw msgpack::type_error();
    }
}

}

std::string_view outcomeName(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::Duplicate:
        return "duplicate";
    case ChangeOutcome::Expired:
        return "expired";
    case ChangeOutcome::Invalid:
        break;
    }
    return "invalid";
}

std::string encodeRecord(const ConfigRecord &record)
{
    if (const auto *change = std::get_if<ConfigChange>(&record)) {
        return pack(changeTag, toWire(*change));
    }
    return pack(checkpointTag, toWire(std::get<Checkpoint>(record)));
}

ConfigRecord decodeRecord(const std::string &payload)
{
    try {
        return unpack(payload);
    } catch (const std::exception &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, fmt::format("not a configuration record: {}", error.what()));
    }
}

}
