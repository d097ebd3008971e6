#pragma once

#include <string_view>

namespace Lovageward {

/**
 * Numbered results, the same in the caller API, the administration API and the exit codes of lovagewardctl.
 * docs/errors.md lists them; numbers are never reused.
 */
enum class ResultCode {
    Ok = 0,

    // 1xx: the request itself is wrong.
    BadRequest = 100,
    BodyTooLarge = 101,
    MalformedJson = 102,
    UnknownWorkClass = 103,
    UnknownModel = 104,
    Unauthenticated = 105,
    Forbidden = 106,
    NotFound = 107,
    HeadersTooLarge = 108,
    RequestTooSlow = 109,
    IdempotencyKeyMissing = 110,
    IdempotencyKeyInvalid = 111,
    IdempotencyKeyExpired = 112,
    IdempotencyKeyReused = 113,
    ResumeTokenInvalid = 114,

    // 2xx: refused because of load or state; the caller may come back.
    QueueFull = 200,
    TeamLimitReached = 201,
    NoCapacity = 202,
    DeadlineExceeded = 203,
    ShuttingDown = 204,
    NodeIsolated = 205,
    NodeStarting = 206,
    RetryBudgetExhausted = 207,
    PromptQuarantined = 208,

    // 3xx: the upstream failed.
    UpstreamUnavailable = 300,
    UpstreamRefused = 301,
    UpstreamConnectionLost = 302,
    UpstreamSilent = 303,
    AnswerMismatch = 304,
    AnswerIncomplete = 305,
    OffsetGap = 306,
    GenerationLost = 307,
    UpstreamError = 308,

    // 4xx: calls that run at most once.
    CallStillRunning = 400,
    CallOutcomeUnknown = 401,
    ClaimRefused = 402,
    ClaimOwnerUnavailable = 403,

    // 5xx: the platform.
    LogUnavailable = 500,
    OutcomeUnknown = 501,
    RecordsExpired = 502,
    HostListUnavailable = 503,

    // 6xx: configuration and operators.
    VersionConflict = 600,
    InvalidValue = 601,
    LeaseNotHeld = 602,
    OrderRejected = 603,

    // 7xx: between nodes.
    PeerUnreachable = 700,
    PeerTimeout = 701,
    MalformedMessage = 702,

    // 9xx: the node itself.
    InvalidSettings = 900,
    Internal = 901,
};

/** Name of the code as docs/errors.md lists it, for example "QueueFull". */
std::string_view resultName(ResultCode code);

/** HTTP status that carries the code. */
int httpStatus(ResultCode code);

/** Whether work was started for a request. NotRun is used only when it is proven. */
enum class RunState {
    NotRun,
    Unknown,
    Ran,
};

/** "not_run", "unknown" or "ran". */
std::string_view runStateName(RunState state);

}
