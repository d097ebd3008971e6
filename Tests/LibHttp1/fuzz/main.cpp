#include "HeadFuzzer.h"

#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>

using namespace Lovageward;

/** Runs until the time is over or a mutation fails. Returns 1 if one failed, with its bytes on the standard output. */
int main(int count, char **arguments)
{
    cxxopts::Options options("lovageward-fuzz-heads", "Feeds mutated messages to the decoders of HTTP/1.1");
    options.add_options()("seed", "seed of the mutations", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time to run", cxxopts::value<int>()->default_value("10"))("corpus", "folder with the messages to mutate", cxxopts::value<std::string>())(
        "help", "");
    try {
        auto given = options.parse(count, arguments);
        if (given.count("help") > 0 || given.count("corpus") == 0) {
            fmt::print("{}\n", options.help());
            return given.count("help") > 0 ? 0 : 2;
        }
        SystemClock clock;
        SeededRandom random(given["seed"].as<std::uint64_t>());
        HeadFuzzer fuzzer(random, given["corpus"].as<std::string>());
        auto end = clock.now() + seconds(given["seconds"].as<int>());
        std::uint64_t runs = 0;
        for (; clock.now() < end; ++runs) {
            if (auto problem = fuzzer.playOne(); !problem.empty()) {
                fmt::print("failed in run {}: {}\n", runs, problem);
                return 1;
            }
        }
        fmt::print("{} runs in {} s, {} messages accepted, none read in two ways\n", runs, given["seconds"].as<int>(), fuzzer.accepted());
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
