#pragma once

#include <LibClaims/AtMostOnceCaller.h>
#include <LibClaims/ClaimAttempt.h>
#include <LibClaims/ClaimRouter.h>
#include <LibClaims/ResultReporter.h>
#include <LibCore/Logger.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Lovageward {

/**
 * Runs calls at most once: claims the key at its partition's owner, runs the call if the claim is granted in time, and
 * reports the result in the background. `not_run` applies to one request only; a caller that retries must send the same key.
 */
class ClaimedCallRunner final : public AtMostOnceCaller
{
public:
    /** Function that waits until the given time; tests supply one that advances a manual clock. */
    using Pause = std::function<void(TimePoint)>;

    /** An empty `pause` makes threads wait in real time. */
    ClaimedCallRunner(ClaimService &service,
                      const Membership &membership,
                      PeerTransport &transport,
                      const Clock &clock,
                      RandomSource &random,
                      const Logger &logger,
                      Counters &counters,
                      Pause pause = {});
    ~ClaimedCallRunner() override;

    ClaimedCallRunner(const ClaimedCallRunner &) = delete;
    ClaimedCallRunner &operator=(const ClaimedCallRunner &) = delete;

    RecordedAnswer run(const ClaimedCall &call, const std::function<RecordedAnswer()> &execute) override;

    /** Starts the thread that reports results. */
    void start();

    /** Waits until all results are recorded or the deadline has passed, then stops the thread. */
    void stop(TimePoint deadline);

    /** Sends the reports that are due, for tests without a thread. Returns the time of the next call. */
    TimePoint stepReports();

private:
    void requestClaim(ClaimAttempt &attempt);
    RecordedAnswer execute(ClaimAttempt &attempt, const std::function<RecordedAnswer()> &call);
    void runReportLoop();
    void pauseUntil(TimePoint until);

    const Clock &clock;
    RandomSource &random;
    Logger logger;
    Pause pause;
    ClaimRouter router;
    ResultReporter reporter;
    Counter &runs;
    Counter &replays;
    Counter &refusals;
    Counter &unknowns;
    std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    std::thread reportThread;
};

}
