#include <LibMembership/ThreadPoolRunner.h>

#include <latch>
#include <memory>
#include <utility>

namespace Lovageward {

ThreadPoolRunner::ThreadPoolRunner(std::size_t threads)
{
    for (std::size_t index = 0; index < threads; ++index) {
        this->threads.emplace_back([this] { this->work(); });
    }
}

ThreadPoolRunner::~ThreadPoolRunner()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->queued.notify_all();
    for (auto &thread : this->threads) {
        thread.join();
    }
}

void ThreadPoolRunner::runAll(std::size_t count, const std::function<void(std::size_t)> &task)
{
    // Shared, because the last worker may still be inside count_down() when the waiter returns.
    auto pending = std::make_shared<std::latch>(static_cast<std::ptrdiff_t>(count));
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (std::size_t index = 0; index < count; ++index) {
            this->queue.emplace_back([&task, index, pending] {
                task(index);
                pending->count_down();
            });
        }
    }
    this->queued.notify_all();
    pending->wait();
}

void ThreadPoolRunner::work()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->queued.wait(lock, [this] { return this->isStopping || !this->queue.empty(); });
        if (this->queue.empty()) {
            return;
        }
        auto task = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
