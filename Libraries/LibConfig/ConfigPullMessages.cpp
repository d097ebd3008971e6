#include <LibConfig/ConfigPullMessages.h>

#include <LibCore/Error.h>

#include <fmt/format.h>
#include <msgpack.hpp>

namespace Lovageward {

namespace {

struct WireRequest
{
    std::uint64_t from = 0;
    std::uint64_t stateAsOf = 0;
    std::uint32_t part = 0;
    MSGPACK_DEFINE(from, stateAsOf, part)
};

struct WireRecord
{
    std::uint64_t offset = 0;
    std::int64_t appendedAtMs = 0;
    std::string payload;
    MSGPACK_DEFINE(offset, appendedAtMs, payload)
};

struct WireAnswer
{
    std::uint64_t applied = 0;
    std::vector<WireRecord> records;
    std::uint64_t stateAsOf = 0;
    std::uint32_t part = 0;
    std::uint32_t partCount = 0;
    std::string bytes;
    MSGPACK_DEFINE(applied, records, stateAsOf, part, partCount, bytes)
};

template<typename Wire>
std::string pack(const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return std::string(buffer.data(), buffer.size());
}

template<typename Wire>
Wire unpack(const std::string &payload)
{
    try {
        return msgpack::unpack(payload.data(), payload.size()).get().as<Wire>();
    } catch (const std::exception &error) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, fmt::format("not a configuration message: {}", error.what()));
    }
}

}

std::string encodePullRequest(const ConfigPullRequest &request)
{
    return pack(WireRequest { request.from.value(), request.stateAsOf.value(), request.part });
}

std::string encodePullAnswer(const ConfigPullAnswer &answer)
{
    WireAnswer wire { answer.applied.value(), {}, answer.stateAsOf.value(), answer.part, answer.partCount, answer.bytes };
    for (const auto &record : answer.records) {
        wire.records.push_back(WireRecord { record.offset.value(), toMilliseconds(record.appendedAt), record.payload });
    }
    return pack(wire);
}

ConfigPullRequest decodePullRequest(const std::string &payload)
{
    auto wire = unpack<WireRequest>(payload);
    return ConfigPullRequest { Offset(wire.from), Offset(wire.stateAsOf), wire.part };
}

ConfigPullAnswer decodePullAnswer(const std::string &payload)
{
    auto wire = unpack<WireAnswer>(payload);
    ConfigPullAnswer answer { Offset(wire.applied), {}, Offset(wire.stateAsOf), wire.part, wire.partCount, std::move(wire.bytes) };
    for (const auto &record : wire.records) {
        answer.records.push_back(LogRecord { Offset(record.offset), fromMilliseconds<LogTime>(record.appendedAtMs), record.payload });
    }
    return answer;
}

}
