#pragma once

#include <LibClaims/ClaimRouter.h>
#include <LibCore/Backoff.h>
#include <LibCore/Counters.h>

#include <list>
#include <mutex>

namespace Lovageward {

/**
 * Reports the outcomes of attempts to the owners of their keys and retries until they are recorded. step() is called by one
 * thread, add() by any. The queue is bounded: further reports are dropped and counted, and repeated requests then get `unknown`.
 */
class ResultReporter
{
public:
    ResultReporter(ClaimRouter &router, const Clock &clock, RandomSource &random, Counters &counters);

    void add(ClaimReport report);

    /** Sends the reports that are due. Returns the time of the next call, or TimePoint::max() if the queue is empty. */
    TimePoint step();

    std::size_t size() const;

private:
    struct QueuedReport
    {
        ClaimReport report;
        TimePoint dueAt;
        TimePoint dropAt;
        unsigned attempts = 0;
    };

    bool deliver(const QueuedReport &item);
    void postpone(std::list<QueuedReport>::iterator item);
    void remove(std::list<QueuedReport>::iterator item);

    ClaimRouter &router;
    const Clock &clock;
    Backoff backoff;
    Counter &dropped;
    Counter &waiting;
    mutable std::mutex mutex;
    std::list<QueuedReport> queue;
    std::size_t bytes = 0;
};

}
