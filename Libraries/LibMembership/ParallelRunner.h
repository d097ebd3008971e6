#pragma once

#include <cstddef>
#include <functional>

namespace Lovageward {

/** Runs blocking tasks side by side, so that step-driven classes need no threads of their own. */
class ParallelRunner
{
public:
    virtual ~ParallelRunner() = default;

    /** Calls the task for 0 … count - 1, possibly at the same time, and returns when the last call has ended. The task throws nothing. */
    virtual void runAll(std::size_t count, const std::function<void(std::size_t)> &task) = 0;
};

/** Makes the calls one after the other in the calling thread; for tests and benches. */
class SequentialRunner final : public ParallelRunner
{
public:
    void runAll(std::size_t count, const std::function<void(std::size_t)> &task) override
    {
        for (std::size_t index = 0; index < count; ++index) {
            task(index);
        }
    }
};

}
