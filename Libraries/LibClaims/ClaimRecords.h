#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lovageward {

/** Id of one request to run a call. Random and never reused, so a grant can be repeated safely. */
using AttemptId = TextId<struct AttemptIdTag>;

/** Record by which a node takes over a partition. Its offset is the epoch of the batches that follow. */
struct Ownership
{
    RecordId id;
    HostId host;
    Incarnation incarnation;
};

/** Reserves a key for one attempt. */
struct Claim
{
    /** Scoped key, see IdempotencyKey::scoped. */
    std::string key;
    LogTime keyTime;
    /** Hash of the request body; another body under the same key is refused. */
    std::string requestHash;
    AttemptId attempt;
    /** Time from the append of the claim to the deadline of the attempt. */
    Duration budget;
};

/** Answer that the call of an attempt returned. */
struct Result
{
    std::string key;
    AttemptId attempt;
    int status = 0;
    std::string body;
    /** True if the answer exceeded a limit, so that only its status is recorded. */
    bool isTooLarge = false;
};

/** Frees the key of an attempt that has not run the call and will not. */
struct Release
{
    std::string key;
    AttemptId attempt;
    /** True if the runner of the attempt withdrew it; false if the owner never granted the claim. */
    bool isByRunner = false;
};

/** All results, releases and claims of one append, applied in this order. */
struct ClaimBatch
{
    /** Offset of the writer's ownership record. */
    Offset epoch;
    /** Number of the batch within its epoch. A batch is valid only if its number exceeds those of all earlier valid batches. */
    std::uint64_t sequence = 0;
    std::vector<Result> results;
    std::vector<Release> releases;
    std::vector<Claim> claims;
};

using ClaimRecord = std::variant<Ownership, ClaimBatch>;

std::string encodeClaimRecord(const ClaimRecord &record);

/** Returns nullopt if the payload isn't a claim record. */
std::optional<ClaimRecord> decodeClaimRecord(const std::string &payload);

}
