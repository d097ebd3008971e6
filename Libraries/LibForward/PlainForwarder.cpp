#include <LibForward/PlainForwarder.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** An idempotent attempt is given up after so many target latencies, while another one can still be in time for most callers. */
constexpr int attemptTargets = 3;

constexpr int firstErrorStatus = 500;
constexpr int firstFailureStatus = 400;

/** A refusal says less about an upstream than an error. */
constexpr double refusalWeight = 0.5;
constexpr double errorWeight = 1;
constexpr double brokenWeight = 1.5;

}

std::string_view PlainForwarder::endingName(Ending ending)
{
    switch (ending) {
    case Ending::Answered:
        return "answered";
    case Ending::NotRun:
        return "not_run";
    case Ending::Broken:
        return "broken";
    case Ending::TimedOut:
        break;
    }
    return "timed_out";
}

WholeAnswer PlainForwarder::forward(const AdmittedWork &work, CallerChannel &caller) const
{
    AttemptState attempts;
    std::optional<WholeAnswer> failure;
    std::optional<Error> problem;
    while (true) {
        std::optional<OpenedRun> run;
        try {
            run = this->dialer.open(work, attempts, ForwardTerms(), caller);
        } catch (const Error &error) {
            if (failure) {
                return std::move(*failure);
            }
            throw attempts.runs > 0 && problem ? *problem : error;
        }
        auto ending = this->await(work, *run, this->attemptDeadline(work, attempts), caller);
        const auto &upstream = run->place.upstream.id;
        attempts.excluded.push_back(upstream);
        if (ending == Ending::NotRun) {
            this->parts.health.failed(upstream, refusalWeight);
            continue;
        }
        ++attempts.runs;
        auto isLast = !this->mayRepeat(work, attempts);
        if (ending == Ending::Answered) {
            auto isError = static_cast<int>(run->call->head().getStatus()) >= firstErrorStatus;
            if (!isError) {
                this->parts.health.succeeded(upstream);
            } else {
                this->parts.health.failed(upstream, errorWeight);
            }
            WholeAnswer answer { run->call->head(), std::move(run->call->body()) };
            if (!isError || isLast) {
                return answer;
            }
            failure = std::move(answer);
            continue;
        }
        this->parts.health.failed(upstream, brokenWeight);
        auto code = ending == Ending::TimedOut ? ResultCode::UpstreamSilent : ResultCode::UpstreamConnectionLost;
        problem = Error(code, RunState::Unknown, run->call->problem().empty() ? "the upstream did not answer in time" : run->call->problem());
        if (isLast) {
            throw *problem;
        }
    }
}

PlainForwarder::Ending PlainForwarder::await(const AdmittedWork &work, OpenedRun &run, TimePoint attemptDeadline, CallerChannel &caller) const
{
    auto &call = *run.call;
    while (true) {
        auto state = call.advance();
        if (state == UpstreamCall::State::Complete || state == UpstreamCall::State::Broken) {
            auto ending = this->judge(work, run);
            this->parts.events.write("answer",
                                     { { "request", work.request.id.value() },
                                       { "upstream", run.place.upstream.id.value() },
                                       { "status", call.hasHead() ? static_cast<int>(call.head().getStatus()) : 0 },
                                       { "ending", endingName(ending) },
                                       { "problem", call.problem() } });
            return ending;
        }
        ChannelWaiter waiter;
        auto callerSide = waiter.add(caller.descriptor());
        waiter.add(call.descriptor());
        if (!waiter.wait(this->parts.clock, attemptDeadline)) {
            call.cancel();
            this->parts.events.write("attempt_timeout", { { "request", work.request.id.value() }, { "upstream", run.place.upstream.id.value() } });
            return Ending::TimedOut;
        }
        if (waiter.isReadable(callerSide) && caller.isGone()) {
            call.cancel();
            throw CallerGone();
        }
    }
}

PlainForwarder::Ending PlainForwarder::judge(const AdmittedWork &work, const OpenedRun &run) const
{
    const auto &call = *run.call;
    if (!call.hasHead()) {
        return Ending::Broken;
    }
    auto marks = this->parts.protocol.decodeAnswer(call.head());
    if (marks.request != work.request.id && !marks.request.isEmpty()) {
        return Ending::Broken;
    }
    if (marks.isNotRun || marks.isOtherUpstream) {
        return Ending::NotRun;
    }
    if (call.state() != UpstreamCall::State::Complete) {
        return Ending::Broken;
    }
    auto isSuccess = static_cast<int>(call.head().getStatus()) < firstFailureStatus;
    return isSuccess && !marks.isMarked ? Ending::Broken : Ending::Answered;
}

TimePoint PlainForwarder::attemptDeadline(const AdmittedWork &work, const AttemptState &attempts) const
{
    auto isLastAttempt = work.route->repeatRule == RepeatRule::AtMostOnce || attempts.runs + 1 >= work.route->maximumAttempts;
    if (isLastAttempt) {
        return work.deadline;
    }
    return std::min(work.deadline, this->parts.clock.now() + attemptTargets * work.route->targetLatency);
}

bool PlainForwarder::mayRepeat(const AdmittedWork &work, const AttemptState &attempts) const
{
    auto isIdempotent = work.route->repeatRule == RepeatRule::Idempotent;
    return isIdempotent && attempts.runs < work.route->maximumAttempts && this->parts.clock.now() < work.deadline;
}

}
