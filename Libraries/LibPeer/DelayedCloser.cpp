#include <LibPeer/DelayedCloser.h>

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <utility>

namespace Lovageward {

namespace {

/** The thread looks for due operations at least this often, because the clock may move on while it sleeps. */
constexpr Duration dueCheckInterval = milliseconds(200);

/** More waiting operations than this mean that one blocks; failed connections are far rarer. */
constexpr std::size_t reportedBacklog = 256;

}

struct DelayedCloser::State
{
    explicit State(const Clock &clock) : clock(clock)
    {
    }

    /** Called with the mutex held. */
    bool hasWork() const
    {
        return !this->waiting.empty() && (this->isStopping || this->waiting.begin()->first <= this->clock.now());
    }

    /** Not read once `isStopping` is set: the thread may outlive the clock then. */
    const Clock &clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<TimePoint, Operation> waiting;
    bool isStopping = false;
    bool isEnded = false;
};

DelayedCloser::DelayedCloser(const Clock &clock, LogSink &sink)
    : clock(clock), logger(sink, "peer"), state(std::make_shared<State>(clock)), thread([state = this->state] { run(*state); })
{
}

DelayedCloser::~DelayedCloser()
{
    if (this->thread.joinable()) {
        this->stop(this->clock.now());
    }
}

void DelayedCloser::runAt(TimePoint due, Operation operation)
{
    std::size_t backlog = 0;
    {
        std::lock_guard<std::mutex> guard(this->state->mutex);
        this->state->waiting.emplace(due, std::move(operation));
        backlog = this->state->waiting.size();
    }
    this->state->changed.notify_all();
    if (backlog % reportedBacklog == 0) {
        this->logger.warning("{} connections wait to be closed; closing may be blocked", backlog);
    }
}

bool DelayedCloser::stop(TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    this->state->isStopping = true;
    this->state->changed.notify_all();
    auto left = std::max(deadline - this->clock.now(), Duration(0));
    auto isEnded = this->state->changed.wait_for(lock, left, [this] { return this->state->isEnded; });
    auto abandoned = this->state->waiting.size();
    lock.unlock();
    if (isEnded) {
        this->thread.join();
    } else {
        this->logger.error("closing a connection blocks; it and {} more are left open", abandoned);
        this->thread.detach();
    }
    return isEnded;
}

void DelayedCloser::run(State &state)
{
    std::unique_lock<std::mutex> lock(state.mutex);
    while (!state.isStopping || !state.waiting.empty()) {
        if (!state.hasWork()) {
            state.changed.wait_for(lock, dueCheckInterval);
            continue;
        }
        auto operation = std::move(state.waiting.begin()->second);
        state.waiting.erase(state.waiting.begin());
        lock.unlock();
        operation();
        lock.lock();
    }
    state.isEnded = true;
    state.changed.notify_all();
}

}
