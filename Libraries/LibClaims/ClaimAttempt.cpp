#include <LibClaims/ClaimAttempt.h>

#include <LibClaims/ClaimPartition.h>
#include <LibClaims/IdempotencyKey.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration refusalMargin = milliseconds(50);
constexpr Duration pendingRetryDelay = milliseconds(100);
constexpr Duration runningRetryDelay = milliseconds(250);
constexpr Duration maximumRunningRetryDelay = seconds(1);
constexpr Duration noAnswerBackoffBase = milliseconds(200);
constexpr Duration noAnswerBackoffMaximum = seconds(1);
constexpr Duration retryAfter = seconds(2);

}

ClaimAttempt::ClaimAttempt(const ClaimedCall &call, RandomSource &random)
    : requestHash(hashBody(call.body))
    , attempt(random.hexId())
    , refuseAt(call.deadline - refusalMargin)
    , noAnswerBackoff(random, noAnswerBackoffBase, noAnswerBackoffMaximum)
{
    auto parsed = IdempotencyKey::parse(call.idempotencyKey);
    this->key = parsed.scoped(call.team, call.workClass);
    this->keyTime = parsed.time();
}

ClaimAttempt::Step ClaimAttempt::next(TimePoint now)
{
    if (this->isClosed) {
        return Step::Refuse;
    }
    if (this->decision && this->decision->state == GrantState::Finished && !this->decision->isTooLarge) {
        this->isClosed = true;
        return Step::Return;
    }
    if (this->decision && this->decision->state != GrantState::Granted) {
        this->refusalError = this->finalRefusal(*this->decision);
        this->isClosed = true;
        return Step::Refuse;
    }
    if (now >= this->refuseAt) {
        this->refusalError = this->deadlineRefusal();
        this->isClosed = true;
        return Step::Refuse;
    }
    if (this->decision) {
        this->isClosed = true;
        return Step::Run;
    }
    return now < this->nextRequestAt ? Step::Wait : Step::Ask;
}

ClaimRequest ClaimAttempt::request(TimePoint now) const
{
    return ClaimRequest { this->key, this->keyTime, this->requestHash, this->attempt, this->refuseAt - now };
}

void ClaimAttempt::onAnswer(const ClaimAnswer &answer, TimePoint now)
{
    ++this->requestCount;
    this->unansweredRequests = 0;
    switch (answer.state) {
    case GrantState::Pending:
        this->pendingCode = answer.code == ResultCode::Ok ? ResultCode::DeadlineExceeded : answer.code;
        this->nextRequestAt = now + pendingRetryDelay;
        return;
    case GrantState::AlreadyRunning:
        this->hasSeenOtherAttempt = true;
        ++this->alreadyRunningAnswers;
        this->nextRequestAt = now + std::min(maximumRunningRetryDelay, runningRetryDelay * this->alreadyRunningAnswers);
        return;
    case GrantState::NotOwner:
        this->onNoAnswer(now);
        return;
    default:
        this->decision = answer;
    }
}

void ClaimAttempt::onNoAnswer(TimePoint now)
{
    ++this->requestCount;
    this->pendingCode = ResultCode::ClaimOwnerUnavailable;
    this->nextRequestAt = now + pendingRetryDelay + this->noAnswerBackoff.delay(this->unansweredRequests);
    ++this->unansweredRequests;
}

RecordedAnswer ClaimAttempt::recordedAnswer() const
{
    return RecordedAnswer { this->decision->status, this->decision->body, true };
}

Error ClaimAttempt::refusal() const
{
    return *this->refusalError;
}

bool ClaimAttempt::needsWithdrawal() const
{
    if (!this->decision || this->decision->state == GrantState::Granted) {
        return this->requestCount > 0;
    }
    // An earlier owner may have appended a claim before this one refused. The first request is answered before any append.
    return this->decision->state == GrantState::Refused && this->requestCount > 1;
}

ClaimReport ClaimAttempt::withdrawal() const
{
    return ClaimReport { this->key, this->attempt, false, 0, {}, false };
}

ClaimReport ClaimAttempt::report(const RecordedAnswer &answer) const
{
    return ClaimReport { this->key, this->attempt, true, answer.status, answer.body, false };
}

std::optional<Error> ClaimAttempt::finalRefusal(const ClaimAnswer &answer) const
{
    if (answer.state == GrantState::Finished) {
        auto message = fmt::format("the call has run with status {}; its answer was too large to be recorded", answer.status);
        return Error(ResultCode::CallOutcomeUnknown, RunState::Ran, message);
    }
    if (answer.state == GrantState::Unknown) {
        return Error(ResultCode::CallOutcomeUnknown, RunState::Unknown, "an earlier request with this key may have run; its result is not known");
    }
    if (answer.code == ResultCode::IdempotencyKeyReused) {
        return Error(answer.code, RunState::NotRun, "the idempotency key was used with another body");
    }
    if (answer.code == ResultCode::IdempotencyKeyExpired) {
        // An earlier request with the key may have run, but its record is no longer kept.
        return Error(answer.code, RunState::Unknown, "the idempotency key is too old");
    }
    if (this->hasSeenOtherAttempt) {
        return this->deadlineRefusal();
    }
    if (answer.code == ResultCode::IdempotencyKeyInvalid) {
        return Error(answer.code, RunState::NotRun, "the time of the idempotency key is in the future");
    }
    return Error(answer.code, RunState::NotRun, fmt::format("the call could not be claimed: {}", resultName(answer.code)), retryAfter);
}

Error ClaimAttempt::deadlineRefusal() const
{
    if (this->hasSeenOtherAttempt) {
        return { ResultCode::CallStillRunning, RunState::Unknown, "an earlier request with this key has not finished", retryAfter };
    }
    auto message = fmt::format("the call could not be claimed before its deadline: {}", resultName(this->pendingCode));
    return { this->pendingCode, RunState::NotRun, message, retryAfter };
}

}
