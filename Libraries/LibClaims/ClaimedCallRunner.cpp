#include <LibClaims/ClaimedCallRunner.h>

#include <LibClaims/ClaimService.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration reportInterval = milliseconds(50);

}

ClaimedCallRunner::ClaimedCallRunner(ClaimService &service,
                                     const Membership &membership,
                                     PeerTransport &transport,
                                     const Clock &clock,
                                     RandomSource &random,
                                     const Logger &logger,
                                     Counters &counters,
                                     Pause pause)
    : clock(clock)
    , random(random)
    , logger(logger)
    , pause(std::move(pause))
    , router(service, membership, transport, clock)
    , reporter(router, clock, random, counters)
    , runs(counters.counter("lovageward_claimed_calls_total{outcome=\"run\"}"))
    , replays(counters.counter("lovageward_claimed_calls_total{outcome=\"replayed\"}"))
    , refusals(counters.counter("lovageward_claimed_calls_total{outcome=\"not_run\"}"))
    , unknowns(counters.counter("lovageward_claimed_calls_total{outcome=\"unknown\"}"))
{
}

ClaimedCallRunner::~ClaimedCallRunner()
{
    this->stop(this->clock.now());
}

RecordedAnswer ClaimedCallRunner::run(const ClaimedCall &call, const std::function<RecordedAnswer()> &execute)
{
    ClaimAttempt attempt(call, this->random);
    while (true) {
        switch (attempt.next(this->clock.now())) {
        case ClaimAttempt::Step::Ask:
            this->requestClaim(attempt);
            break;
        case ClaimAttempt::Step::Wait:
            this->pauseUntil(std::min(attempt.waitUntil(), attempt.startDeadline()));
            break;
        case ClaimAttempt::Step::Run:
            return this->execute(attempt, execute);
        case ClaimAttempt::Step::Return:
            this->replays.add();
            return attempt.recordedAnswer();
        case ClaimAttempt::Step::Refuse:
            if (attempt.needsWithdrawal()) {
                this->reporter.add(attempt.withdrawal());
            }
            auto refusal = attempt.refusal();
            (refusal.runState() == RunState::NotRun ? this->refusals : this->unknowns).add();
            throw refusal;
        }
    }
}

void ClaimedCallRunner::start()
{
    this->reportThread = std::thread([this] { this->runReportLoop(); });
}

void ClaimedCallRunner::stop(TimePoint deadline)
{
    while (this->reportThread.joinable() && this->reporter.size() > 0 && this->clock.now() < deadline) {
        this->pauseUntil(std::min(deadline, this->clock.now() + reportInterval));
    }
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    if (this->reportThread.joinable()) {
        this->reportThread.join();
    }
}

TimePoint ClaimedCallRunner::stepReports()
{
    return this->reporter.step();
}

void ClaimedCallRunner::requestClaim(ClaimAttempt &attempt)
{
    try {
        auto answer = this->router.requestClaim(attempt.request(this->clock.now()), attempt.startDeadline());
        attempt.onAnswer(answer, this->clock.now());
    } catch (const Error &error) {
        attempt.onNoAnswer(this->clock.now());
    }
}

RecordedAnswer ClaimedCallRunner::execute(ClaimAttempt &attempt, const std::function<RecordedAnswer()> &call)
{
    this->runs.add();
    try {
        auto answer = call();
        answer.isReplay = false;
        this->reporter.add(attempt.report(answer));
        return answer;
    } catch (const Error &error) {
        // If the call may have run, the claim stays and repeated requests get `unknown`.
        if (error.runState() == RunState::NotRun) {
            this->reporter.add(attempt.withdrawal());
        }
        throw;
    }
}

void ClaimedCallRunner::runReportLoop()
{
    while (true) {
        this->reporter.step();
        std::unique_lock<std::mutex> guard(this->mutex);
        if (this->isStopping) {
            return;
        }
        this->changed.wait_for(guard, reportInterval);
    }
}

void ClaimedCallRunner::pauseUntil(TimePoint until)
{
    if (this->pause) {
        this->pause(until);
        return;
    }
    auto rest = until - this->clock.now();
    if (rest > Duration(0)) {
        std::this_thread::sleep_for(rest);
    }
}

}
