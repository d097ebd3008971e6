#pragma once

#include <LibClaims/AtMostOnceCaller.h>
#include <LibClaims/ClaimMessages.h>
#include <LibCore/Backoff.h>
#include <LibCore/Error.h>

#include <optional>

namespace Lovageward {

/**
 * State machine of one request for a claim, without I/O: it asks the owner of the key until the owner decides, and then runs
 * the call at most once or refuses it. Once next() has returned Run, Return or Refuse, later answers of the owner are ignored,
 * so a grant that arrives after the refusal has no effect.
 */
class ClaimAttempt
{
public:
    enum class Step {
        /** Send request() to the owner of the key. */
        Ask,
        /** Call next() again at waitUntil() or startDeadline(), whichever is earlier. */
        Wait,
        /** Run the call now. Returned at most once. */
        Run,
        /** Return recordedAnswer(). */
        Return,
        /** Throw refusal(). */
        Refuse,
    };

    /** Throws Error(IdempotencyKeyMissing or IdempotencyKeyInvalid, NotRun). */
    ClaimAttempt(const ClaimedCall &call, RandomSource &random);

    Step next(TimePoint now);

    ClaimRequest request(TimePoint now) const;
    void onAnswer(const ClaimAnswer &answer, TimePoint now);
    /** Handles a request that got no answer, or that reached a node which doesn't own the key's partition. */
    void onNoAnswer(TimePoint now);

    /** Time at which the next request is due. */
    TimePoint waitUntil() const
    {
        return this->nextRequestAt;
    }

    /** Time after which the call isn't started; 50 ms before the request's deadline, so that a refusal reaches the caller in time. */
    TimePoint startDeadline() const
    {
        return this->refuseAt;
    }

    RecordedAnswer recordedAnswer() const;
    Error refusal() const;

    /** True if a claim may have been appended for a refused attempt. The owner must then be sent withdrawal(). */
    bool needsWithdrawal() const;

    /** Report that the attempt has not run the call and will not. */
    ClaimReport withdrawal() const;

    /** Report of the answer that the call returned. */
    ClaimReport report(const RecordedAnswer &answer) const;

private:
    std::optional<Error> finalRefusal(const ClaimAnswer &answer) const;
    Error deadlineRefusal() const;

    std::string key;
    LogTime keyTime;
    std::string requestHash;
    AttemptId attempt;
    TimePoint refuseAt;
    TimePoint nextRequestAt;
    Backoff noAnswerBackoff;
    unsigned unansweredRequests = 0;
    unsigned alreadyRunningAnswers = 0;
    unsigned requestCount = 0;
    bool hasSeenOtherAttempt = false;
    bool isClosed = false;
    ResultCode pendingCode = ResultCode::DeadlineExceeded;
    std::optional<ClaimAnswer> decision;
    std::optional<Error> refusalError;
};

}
