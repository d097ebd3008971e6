#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Logger.h>

#include <functional>
#include <memory>
#include <thread>

namespace Lovageward {

/**
 * Runs close operations on a thread of its own, each not before its time. nng 1.5.2 can block for ever in nng_close if an answer arrives while the
 * socket closes, and then all later closes block as well; threads that serve requests must not wait for that.
 * Thread-safe. Lock order: its mutex is a leaf lock and not held while an operation runs.
 */
class DelayedCloser
{
public:
    using Operation = std::function<void()>;

    DelayedCloser(const Clock &clock, LogSink &sink);
    /** Leaves the thread behind if an operation still blocks; call stop() to wait. */
    ~DelayedCloser();

    DelayedCloser(const DelayedCloser &) = delete;
    DelayedCloser &operator=(const DelayedCloser &) = delete;

    /** Runs the operation at or after `due`. Operations may outlive this object, so they own what they use. */
    void runAt(TimePoint due, Operation operation);

    /**
     * Runs what is left without regard to its time and waits until all has returned. False if the deadline passed first: the operation that blocks
     * and those behind it are abandoned. Call it at most once; an operation that is added afterwards never runs.
     */
    bool stop(TimePoint deadline);

private:
    struct State;

    static void run(State &state);

    const Clock &clock;
    Logger logger;
    /** Shared with the thread, which may outlive this object. */
    std::shared_ptr<State> state;
    std::thread thread;
};

}
