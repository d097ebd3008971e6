#pragma once

#include <LibMembership/ParallelRunner.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace Lovageward {

/**
 * ParallelRunner with a fixed number of threads. Safe to call from several threads; the mutex guards the queue only.
 * Gossip needs a pool of its own: behind a queue of slow polls its probes would time out.
 */
class ThreadPoolRunner final : public ParallelRunner
{
public:
    explicit ThreadPoolRunner(std::size_t threads);
    ThreadPoolRunner(const ThreadPoolRunner &) = delete;
    ThreadPoolRunner &operator=(const ThreadPoolRunner &) = delete;
    ~ThreadPoolRunner() override;

    void runAll(std::size_t count, const std::function<void(std::size_t)> &task) override;

private:
    void work();

    std::mutex mutex;
    std::condition_variable queued;
    std::deque<std::function<void()>> queue;
    bool isStopping = false;
    std::vector<std::thread> threads;
};

}
