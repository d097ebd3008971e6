#pragma once

#include <LibClaims/ClaimRecords.h>
#include <LibCore/ResultCode.h>

#include <optional>
#include <string>

namespace Lovageward {

/** Payload of ClaimRequest: requests a key for an attempt, or the current state of an earlier request of the same attempt. */
struct ClaimRequest
{
    std::string key;
    LogTime keyTime;
    std::string requestHash;
    AttemptId attempt;
    /** Time left until the request's deadline when the message was sent. */
    Duration remaining;
};

enum class GrantState : std::uint8_t {
    /** Not decided yet; the request must be repeated. */
    Pending,
    /** The attempt holds the key and may run the call once. */
    Granted,
    /** Another attempt holds the key and may still be running. */
    AlreadyRunning,
    /** The call has run and its answer is recorded. */
    Finished,
    /** Another attempt held the key until its deadline, and no result is recorded. */
    Unknown,
    /** The attempt will not get the key; `code` gives the reason. */
    Refused,
    /** This node isn't the owner of the partition. */
    NotOwner,
};

/** Answer to ClaimRequest. */
struct ClaimAnswer
{
    GrantState state = GrantState::Pending;
    /** Reason of a refusal; with Pending, the reason why the owner can't decide at present, or Ok. */
    ResultCode code = ResultCode::Ok;
    int status = 0;
    std::string body;
    /** True if the call has run but its answer was too large to be recorded. */
    bool isTooLarge = false;
};

/** Payload of ClaimResult: the outcome of an attempt. */
struct ClaimReport
{
    std::string key;
    AttemptId attempt;
    /** False if the attempt has not run the call and will not. */
    bool hasRun = false;
    int status = 0;
    std::string body;
    bool isTooLarge = false;
};

enum class ReportState : std::uint8_t {
    /** Not recorded yet; the report must be repeated. */
    Pending,
    /** Recorded, or no longer needed. */
    Recorded,
    NotOwner,
};

std::string encodeClaimRequest(const ClaimRequest &request);
std::string encodeClaimAnswer(const ClaimAnswer &answer);
std::string encodeClaimReport(const ClaimReport &report);
std::string encodeReportState(ReportState state);

/** The decoders throw Error(MalformedMessage, NotRun). */
ClaimRequest decodeClaimRequest(const std::string &payload);
ClaimAnswer decodeClaimAnswer(const std::string &payload);
ClaimReport decodeClaimReport(const std::string &payload);
ReportState decodeReportState(const std::string &payload);

}
