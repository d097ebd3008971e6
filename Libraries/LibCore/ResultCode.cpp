#include <LibCore/ResultCode.h>

#include <array>

namespace Lovageward {

namespace {

struct ResultEntry
{
    ResultCode code;
    std::string_view name;
    int httpStatus;
};

constexpr auto resultTable = std::to_array<ResultEntry>({
    { ResultCode::Ok, "Ok", 200 },
    { ResultCode::BadRequest, "BadRequest", 400 },
    { ResultCode::BodyTooLarge, "BodyTooLarge", 413 },
    { ResultCode::MalformedJson, "MalformedJson", 400 },
    { ResultCode::UnknownWorkClass, "UnknownWorkClass", 404 },
    { ResultCode::UnknownModel, "UnknownModel", 404 },
    { ResultCode::Unauthenticated, "Unauthenticated", 401 },
    { ResultCode::Forbidden, "Forbidden", 403 },
    { ResultCode::NotFound, "NotFound", 404 },
    { ResultCode::HeadersTooLarge, "HeadersTooLarge", 431 },
    { ResultCode::RequestTooSlow, "RequestTooSlow", 408 },
    { ResultCode::IdempotencyKeyMissing, "IdempotencyKeyMissing", 400 },
    { ResultCode::IdempotencyKeyInvalid, "IdempotencyKeyInvalid", 400 },
    { ResultCode::IdempotencyKeyExpired, "IdempotencyKeyExpired", 410 },
    { ResultCode::IdempotencyKeyReused, "IdempotencyKeyReused", 422 },
    { ResultCode::ResumeTokenInvalid, "ResumeTokenInvalid", 400 },
    { ResultCode::QueueFull, "QueueFull", 429 },
    { ResultCode::TeamLimitReached, "TeamLimitReached", 429 },
    { ResultCode::NoCapacity, "NoCapacity", 503 },
    { ResultCode::DeadlineExceeded, "DeadlineExceeded", 504 },
    { ResultCode::ShuttingDown, "ShuttingDown", 503 },
    { ResultCode::NodeIsolated, "NodeIsolated", 503 },
    { ResultCode::NodeStarting, "NodeStarting", 503 },
    { ResultCode::RetryBudgetExhausted, "RetryBudgetExhausted", 503 },
    { ResultCode::PromptQuarantined, "PromptQuarantined", 503 },
    { ResultCode::UpstreamUnavailable, "UpstreamUnavailable", 502 },
    { ResultCode::UpstreamRefused, "UpstreamRefused", 503 },
    { ResultCode::UpstreamConnectionLost, "UpstreamConnectionLost", 502 },
    { ResultCode::UpstreamSilent, "UpstreamSilent", 504 },
    { ResultCode::AnswerMismatch, "AnswerMismatch", 502 },
    { ResultCode::AnswerIncomplete, "AnswerIncomplete", 502 },
    { ResultCode::OffsetGap, "OffsetGap", 502 },
    { ResultCode::GenerationLost, "GenerationLost", 410 },
    { ResultCode::UpstreamError, "UpstreamError", 502 },
    { ResultCode::CallStillRunning, "CallStillRunning", 409 },
    { ResultCode::CallOutcomeUnknown, "CallOutcomeUnknown", 409 },
    { ResultCode::ClaimRefused, "ClaimRefused", 503 },
    { ResultCode::ClaimOwnerUnavailable, "ClaimOwnerUnavailable", 503 },
    { ResultCode::LogUnavailable, "LogUnavailable", 503 },
    { ResultCode::OutcomeUnknown, "OutcomeUnknown", 504 },
    { ResultCode::RecordsExpired, "RecordsExpired", 410 },
    { ResultCode::HostListUnavailable, "HostListUnavailable", 503 },
    { ResultCode::VersionConflict, "VersionConflict", 409 },
    { ResultCode::InvalidValue, "InvalidValue", 400 },
    { ResultCode::LeaseNotHeld, "LeaseNotHeld", 409 },
    { ResultCode::OrderRejected, "OrderRejected", 409 },
    { ResultCode::PeerUnreachable, "PeerUnreachable", 502 },
    { ResultCode::PeerTimeout, "PeerTimeout", 504 },
    { ResultCode::MalformedMessage, "MalformedMessage", 400 },
    { ResultCode::InvalidSettings, "InvalidSettings", 500 },
    { ResultCode::Internal, "Internal", 500 },
});

const ResultEntry &entryOf(ResultCode code)
{
    for (const auto &entry : resultTable) {
        if (entry.code == code) {
            return entry;
        }
    }
    return resultTable.back();
}

}

std::string_view resultName(ResultCode code)
{
    return entryOf(code).name;
}

int httpStatus(ResultCode code)
{
    return entryOf(code).httpStatus;
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

}
