#pragma once

#include <functional>
#include <vector>

namespace Lovageward {

/** Runs blocking tasks side by side, so that step-driven classes need no threads of their own. */
class ParallelRunner
{
public:
    virtual ~ParallelRunner() = default;

    /** Runs all tasks, possibly at the same time, and returns when the last has ended. Tasks throw nothing. */
    virtual void runAll(const std::vector<std::function<void()>> &tasks) = 0;
};

/** Runs the tasks one after the other in the calling thread; for tests and benches. */
class SequentialRunner final : public ParallelRunner
{
public:
    void runAll(const std::vector<std::function<void()>> &tasks) override
    {
        for (const auto &task : tasks) {
            task();
        }
    }
};

}
