#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <functional>
#include <string>

namespace Lovageward {

/** Result of a service call as the claim record keeps it. */
struct RecordedAnswer
{
    int status = 0;
    std::string body;
    /** True if the answer was recorded by an earlier request with the same key. */
    bool isReplay = false;
};

/** A call that must run at most once. */
struct ClaimedCall
{
    TeamId team;
    RequestId request;
    WorkClassId workClass;
    /** Value of the caller's Idempotency-Key header. */
    std::string idempotencyKey;
    std::string body;
    TimePoint deadline;
};

/** Runs calls at most once over all nodes. Called from many request threads. */
class AtMostOnceCaller
{
public:
    virtual ~AtMostOnceCaller() = default;

    /**
     * Claims the key, then calls `execute` at most once and records its answer; a repeat gets the recorded answer.
     * `execute` throws Error with RunState::NotRun only if the call certainly did not run.
     * Throws Error: IdempotencyKeyMissing, IdempotencyKeyInvalid, IdempotencyKeyReused, LogUnavailable, ClaimRefused,
     * ClaimOwnerUnavailable or DeadlineExceeded with NotRun; CallStillRunning, CallOutcomeUnknown or IdempotencyKeyExpired
     * with Unknown, the last because an earlier request with the key may have run; CallOutcomeUnknown with Ran if the call has
     * run but its answer was too large to be recorded. NotRun speaks of this request; the caller keeps its key for a retry.
     */
    virtual RecordedAnswer run(const ClaimedCall &call, const std::function<RecordedAnswer()> &execute) = 0;
};

}
