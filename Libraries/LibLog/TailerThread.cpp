#include <LibLog/TailerThread.h>

namespace Lovageward {

namespace {

constexpr Duration firstRetryDelay = milliseconds(100);
// A recovered log must be noticed well within the 9 s in which a change has to be in effect everywhere.
constexpr Duration longestRetryDelay = seconds(1);

}

TailerThread::TailerThread(LogTailer &tailer, const Clock &clock, RandomSource &random, Duration pollTime, std::function<void(LogTailer::Step)> afterStep)
    : tailer(tailer), clock(clock), backoff(random, firstRetryDelay, longestRetryDelay), pollTime(pollTime), afterStep(std::move(afterStep)), thread([this] {
        this->run();
    })
{
}

TailerThread::~TailerThread()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->stopping = true;
    }
    this->stopRequested.notify_all();
    this->thread.join();
}

void TailerThread::run()
{
    unsigned failures = 0;
    while (!this->isStopping()) {
        auto step = this->tailer.step(this->clock.now() + this->pollTime);
        this->afterStep(step);
        if (step != LogTailer::Step::Unavailable) {
            failures = 0;
            continue;
        }
        this->pause(this->backoff.delay(failures));
        ++failures;
    }
}

void TailerThread::pause(Duration time)
{
    std::unique_lock<std::mutex> guard(this->mutex);
    this->stopRequested.wait_for(guard, time, [this] { return this->stopping; });
}

bool TailerThread::isStopping()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->stopping;
}

}
