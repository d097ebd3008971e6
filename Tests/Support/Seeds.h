#pragma once

#include <cstdint>
#include <cstdlib>

namespace Lovageward {

/** Number of seeds of a randomised test: LOVAGEWARD_SEEDS if set, otherwise the test's own number. */
inline std::uint64_t seedCount(std::uint64_t usual)
{
    const auto *text = std::getenv("LOVAGEWARD_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/** First seed: LOVAGEWARD_FIRST_SEED if set, to repeat a failing one. */
inline std::uint64_t firstSeed()
{
    const auto *text = std::getenv("LOVAGEWARD_FIRST_SEED"); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}
