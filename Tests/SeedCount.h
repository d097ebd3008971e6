#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

/** Seeds that a randomised test runs: LOVAGEWARD_SEEDS, or the given default. */
inline std::uint64_t seedCount(std::uint64_t defaultCount = 200)
{
    const char *text = std::getenv("LOVAGEWARD_SEEDS");
    return text == nullptr ? defaultCount : std::stoull(text);
}
