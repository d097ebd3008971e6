#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Lovageward {

/** What a node knows of the runs with a suspected prompt part, as nodes report it to each other. */
struct PromptPartReport
{
    /** A crash of an upstream process while it executed a request with the part. */
    struct Crash
    {
        /** Hash of the process's id and boot. */
        std::uint64_t process = 0;
        /** Time since the crash. */
        Duration age = Duration(0);

        bool operator==(const Crash &) const = default;
    };

    /** Hash of the part's id. */
    std::uint64_t part = 0;
    /** Number of parts before it in the prompt. */
    std::uint32_t position = 0;
    std::vector<Crash> crashes;
    /** Time since the last successful run with the part; nullopt if none is known. */
    std::optional<Duration> successAge;

    bool operator==(const PromptPartReport &) const = default;
};

}
