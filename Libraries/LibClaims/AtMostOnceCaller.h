#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <functional>
#include <string>

namespace Lovageward {

/** Answer to a service call, as stored with the claim of its key. */
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

/** Runs each call at most once across all nodes. Safe to call from several threads. */
class AtMostOnceCaller
{
public:
    virtual ~AtMostOnceCaller() = default;

    /**
     * Claims the key, calls `execute` at most once and records its answer. A repeated request gets the recorded answer.
     * `execute` must throw Error with RunState::NotRun only if the call certainly did not run.
     * Throws Error: IdempotencyKeyMissing, IdempotencyKeyInvalid, IdempotencyKeyReused, LogUnavailable, ClaimRefused,
     * ClaimOwnerUnavailable or DeadlineExceeded with NotRun; CallStillRunning, CallOutcomeUnknown or IdempotencyKeyExpired
     * with Unknown, the last because an earlier request with the key may have run; CallOutcomeUnknown with Ran if the call has
     * run but its answer was too large to be recorded. NotRun applies to this request only; a caller that retries must send the
     * same key.
     */
    virtual RecordedAnswer run(const ClaimedCall &call, const std::function<RecordedAnswer()> &execute) = 0;
};

}
