#include "HeadFuzzer.h"

#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>

using namespace Lovageward;

/** Plays a number of mutations, or as many as fit into a time, until one fails. Returns 1 if one failed, with its bytes on the standard output. */
int main(int count, char **arguments)
{
    cxxopts::Options options("lovageward-fuzz-heads", "Feeds mutated messages to the decoders of HTTP/1.1");
    options.add_options()("seed", "seed of the mutations", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time to run without --runs", cxxopts::value<int>()->default_value("10"))(
        "runs", "number of mutations, however long they take; 0 to run for a time", cxxopts::value<std::uint64_t>()->default_value("0"))(
        "corpus", "folder with the messages to mutate", cxxopts::value<std::string>())("help", "");
    try {
        auto given = options.parse(count, arguments);
        if (given.count("help") > 0 || given.count("corpus") == 0) {
            fmt::print("{}\n", options.help());
            return given.count("help") > 0 ? 0 : 2;
        }
        SystemClock clock;
        SeededRandom random(given["seed"].as<std::uint64_t>());
        HeadFuzzer fuzzer(random, given["corpus"].as<std::string>());
        auto maximumRuns = given["runs"].as<std::uint64_t>();
        auto begin = clock.now();
        auto end = begin + seconds(given["seconds"].as<int>());
        std::uint64_t runs = 0;
        for (; maximumRuns > 0 ? runs < maximumRuns : clock.now() < end; ++runs) {
            if (auto problem = fuzzer.playOne(); !problem.empty()) {
                fmt::print("failed in run {}: {}\n", runs, problem);
                return 1;
            }
        }
        auto spent = std::chrono::duration_cast<seconds>(clock.now() - begin).count();
        fmt::print("{} runs in {} s, {} messages accepted, none read in two ways\n", runs, spent, fuzzer.accepted());
        return 0;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
