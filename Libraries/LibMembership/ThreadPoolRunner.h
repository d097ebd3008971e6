#pragma once

#include <LibMembership/ParallelRunner.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>

namespace Lovageward {

/** ParallelRunner with a fixed number of threads. Safe to call from several threads; the mutex guards the queue only. */
class ThreadPoolRunner final : public ParallelRunner
{
public:
    explicit ThreadPoolRunner(std::size_t threads);
    ThreadPoolRunner(const ThreadPoolRunner &) = delete;
    ThreadPoolRunner &operator=(const ThreadPoolRunner &) = delete;
    ~ThreadPoolRunner() override;

    void runAll(const std::vector<std::function<void()>> &tasks) override;

private:
    void work();

    std::mutex mutex;
    std::condition_variable queued;
    std::deque<std::function<void()>> queue;
    bool isStopping = false;
    std::vector<std::thread> threads;
};

}
