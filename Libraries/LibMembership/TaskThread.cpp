#include <LibMembership/TaskThread.h>

#include <exception>

namespace Lovageward {

namespace {

// A task that fails at once must not occupy a core.
constexpr auto delayAfterFailure = seconds(1);

}

TaskThread::TaskThread(const Clock &clock, LogSink &sink, const std::string &part, PeriodicTask &task)
    : clock(clock), logger(sink, part), task(task), thread([this] { this->run(); })
{
}

TaskThread::~TaskThread()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void TaskThread::wake()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isWoken = true;
    }
    this->changed.notify_all();
}

void TaskThread::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        this->isWoken = false;
        lock.unlock();
        auto next = this->stepOnce();
        lock.lock();
        this->changed.wait_for(lock, next - this->clock.now(), [this] { return this->isStopping || this->isWoken; });
    }
}

TimePoint TaskThread::stepOnce()
{
    try {
        return this->task.step();
    } catch (const std::exception &error) {
        this->logger.error("a step failed: {}", error.what());
        return this->clock.now() + delayAfterFailure;
    }
}

}
