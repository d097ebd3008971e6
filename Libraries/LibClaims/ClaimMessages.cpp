#include <LibClaims/ClaimMessages.h>

#include <LibCore/Error.h>

#include <msgpack.hpp>

#include <tuple>

namespace Lovageward {

namespace {

using WireRequest = std::tuple<std::string, std::int64_t, std::string, std::string, std::int64_t>;
using WireAnswer = std::tuple<int, int, int, std::string, bool>;
using WireState = std::tuple<int>;
using WireReport = std::tuple<std::string, std::string, bool, int, std::string, bool>;

template<typename Wire>
std::string packed(const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return { buffer.data(), buffer.size() };
}

[[noreturn]] void refuse()
{
    throw Error(ResultCode::MalformedMessage, RunState::NotRun, "a claim message can't be decoded");
}

/** msgpack fills missing elements of a short array with defaults, so the length is checked. */
template<typename Wire>
Wire unpacked(const std::string &payload)
{
    try {
        auto handle = msgpack::unpack(payload.data(), payload.size());
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<Wire>) {
            refuse();
        }
        return object.as<Wire>();
    } catch (const msgpack::unpack_error &) {
        refuse();
    } catch (const msgpack::type_error &) {
        refuse();
    }
}

}

std::string encodeClaimRequest(const ClaimRequest &request)
{
    auto keySeconds = std::chrono::duration_cast<seconds>(request.keyTime.time_since_epoch()).count();
    auto remaining = std::chrono::duration_cast<milliseconds>(request.remaining).count();
    return packed(WireRequest(request.key, keySeconds, request.requestHash, request.attempt.value(), remaining));
}

std::string encodeClaimAnswer(const ClaimAnswer &answer)
{
    return packed(WireAnswer(static_cast<int>(answer.state), static_cast<int>(answer.code), answer.status, answer.body, answer.isTooLarge));
}

std::string encodeClaimReport(const ClaimReport &report)
{
    return packed(WireReport(report.key, report.attempt.value(), report.hasRun, report.status, report.body, report.isTooLarge));
}

std::string encodeReportState(ReportState state)
{
    return packed(WireState(static_cast<int>(state)));
}

ClaimRequest decodeClaimRequest(const std::string &payload)
{
    auto [key, keySeconds, hash, attempt, remaining] = unpacked<WireRequest>(payload);
    return ClaimRequest { key, LogTime(seconds(keySeconds)), hash, AttemptId(attempt), milliseconds(remaining) };
}

ClaimAnswer decodeClaimAnswer(const std::string &payload)
{
    auto [state, code, status, body, isTooLarge] = unpacked<WireAnswer>(payload);
    if (state < 0 || state > static_cast<int>(GrantState::NotOwner)) {
        refuse();
    }
    return ClaimAnswer { static_cast<GrantState>(state), static_cast<ResultCode>(code), status, body, isTooLarge };
}

ClaimReport decodeClaimReport(const std::string &payload)
{
    auto [key, attempt, hasRun, status, body, isTooLarge] = unpacked<WireReport>(payload);
    return ClaimReport { key, AttemptId(attempt), hasRun, status, body, isTooLarge };
}

ReportState decodeReportState(const std::string &payload)
{
    auto [state] = unpacked<WireState>(payload);
    if (state < 0 || state > static_cast<int>(ReportState::NotOwner)) {
        refuse();
    }
    return static_cast<ReportState>(state);
}

}
