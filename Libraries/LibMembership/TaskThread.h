#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Logger.h>
#include <LibMembership/PeriodicTask.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Lovageward {

/** Thread that runs one PeriodicTask from construction to destruction. An exception is logged and the task runs again later. */
class TaskThread
{
public:
    TaskThread(const Clock &clock, LogSink &sink, const std::string &part, PeriodicTask &task);
    TaskThread(const TaskThread &) = delete;
    TaskThread &operator=(const TaskThread &) = delete;

    /** Waits for a running step. */
    ~TaskThread();

    /** Makes the next step due now. Safe to call from several threads. */
    void wake();

private:
    void run();
    TimePoint stepOnce();

    const Clock &clock;
    Logger logger;
    PeriodicTask &task;
    std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    bool isWoken = false;
    std::thread thread;
};

}
