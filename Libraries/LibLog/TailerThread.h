#pragma once

#include <LibCore/Backoff.h>
#include <LibCore/Clock.h>
#include <LibLog/LogTailer.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Lovageward {

/** Drives a LogTailer by long polling on a thread of its own until it is destroyed. */
class TailerThread
{
public:
    /**
     * `pollTime` bounds one read and so the time that stopping takes. It must stay well below the isolation time of 6 s,
     * because each read that returns shows that the log is reachable. `afterStep` runs on the thread after each read.
     */
    TailerThread(LogTailer &tailer, const Clock &clock, RandomSource &random, Duration pollTime, std::function<void(LogTailer::Step)> afterStep);
    ~TailerThread();
    TailerThread(const TailerThread &) = delete;
    TailerThread &operator=(const TailerThread &) = delete;

private:
    void run();
    void pause(Duration time);
    bool isStopping();

    LogTailer &tailer;
    const Clock &clock;
    Backoff backoff;
    Duration pollTime;
    std::function<void(LogTailer::Step)> afterStep;
    std::mutex mutex;
    std::condition_variable stopRequested;
    bool stopping = false;
    std::thread thread;
};

}
