#pragma once

#include <LibCore/RandomSource.h>

#include <mutex>
#include <random>

namespace Lovageward {

/** Reproducible random numbers from a seed; for tests and benches, and for jitter where the seed comes from SystemRandom. */
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) : engine(seed)
    {
    }

    std::uint64_t next() override
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        return this->engine();
    }

private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

}
