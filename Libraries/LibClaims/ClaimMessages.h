#pragma once

#include <LibClaims/ClaimRecords.h>
#include <LibCore/ResultCode.h>

#include <optional>
#include <string>

namespace Lovageward {

/** Payload of ClaimRequest: asks for a key, or asks again about the same attempt. */
struct ClaimRequest
{
    std::string key;
    LogTime keyTime;
    std::string requestHash;
    AttemptId attempt;
    /** Time until the request's deadline when the message was sent. */
    Duration remaining;
};

enum class GrantState : std::uint8_t {
    /** Not decided yet; ask again. */
    Pending,
    /** The attempt has the key and may run the call, once. */
    Granted,
    /** Another attempt has the key and may still be running. */
    AlreadyRunning,
    /** The call has run; the answer is recorded. */
    Finished,
    /** Another attempt had the key, its deadline has passed and no result is recorded. */
    Unknown,
    /** The attempt doesn't have the key and won't get it; `code` says why. */
    Refused,
    /** This node isn't the owner of the partition. */
    NotOwner,
};

/** Answer to ClaimRequest. */
struct ClaimAnswer
{
    GrantState state = GrantState::Pending;
    /** Of a refusal; with Pending, why the owner can't decide at present. */
    ResultCode code = ResultCode::Ok;
    int status = 0;
    std::string body;
    /** The call has run, but its answer was too large to be recorded. */
    bool isTooLarge = false;
};

/** Payload of ClaimResult: what became of an attempt. */
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
    /** Not recorded yet; report again. */
    Pending,
    /** Recorded, or no longer of any use. */
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
