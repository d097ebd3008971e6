#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lovageward {

/** One request that wants to run a call. Random and never used again, so a grant for it can be repeated without harm. */
using AttemptId = TextId<struct AttemptIdTag>;

/** Takes over a partition. Its offset is the epoch of the batches that follow. */
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
    /** Time that the attempt has, from the append of its claim. */
    Duration budget;
};

/** What the call of an attempt returned. */
struct Result
{
    std::string key;
    AttemptId attempt;
    int status = 0;
    std::string body;
    /** The answer was larger than the limit: only the status is recorded. */
    bool isTooLarge = false;
};

/** Gives a key back whose attempt has not run and will not run. */
struct Release
{
    std::string key;
    AttemptId attempt;
    /** True if the runner of the attempt says so; otherwise the owner says that it never granted the claim. */
    bool isByRunner = false;
};

/** All claims, results and releases that one append carries; applied in this order: results, releases, claims. */
struct ClaimBatch
{
    /** Offset of the writer's ownership record. */
    Offset epoch;
    /** Number of the batch within its epoch. A batch is valid only if it is greater than that of all valid ones before. */
    std::uint64_t sequence = 0;
    std::vector<Result> results;
    std::vector<Release> releases;
    std::vector<Claim> claims;
};

using ClaimRecord = std::variant<Ownership, ClaimBatch>;

std::string encodeClaimRecord(const ClaimRecord &record);

/** Empty if the payload isn't a claim record. */
std::optional<ClaimRecord> decodeClaimRecord(const std::string &payload);

}
