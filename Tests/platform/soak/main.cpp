#include "Caller.h"
#include "Deployment.h"
#include "FaultPlan.h"
#include "StoreRole.h"
#include "UpstreamRole.h"

#include <LibCore/SystemClock.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <unistd.h>

namespace {

using namespace Lovageward;
using namespace Lovageward::Soak;

struct RunOptions
{
    std::string program;
    std::string soakProgram;
    std::string logs;
    std::uint64_t firstSeed = 0;
    std::uint64_t seeds = 0;
    std::size_t nodes = 0;
    std::size_t upstreams = 0;
    std::size_t callers = 0;
    Duration length = Duration(0);
    /** Exceeded time limits are printed, but don't fail the run. */
    bool ignoresTimingViolations = false;
};

/** Runs one seed and returns the violated guarantees. */
InvariantChecker::CheckResult runSeed(const RunOptions &options, std::uint64_t seed, const std::string &logs, std::string &summary)
{
    SystemClock clock;
    InvariantChecker checker(clock);
    auto network = static_cast<std::uint32_t>(::getpid()) % 50'000;
    Deployment deployment(clock, checker, { options.program, options.soakProgram, logs, network, options.nodes, options.upstreams });
    deployment.start();
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < options.callers; ++index) {
        CallerSettings settings {
            fmt::format("s{}c{}", seed, index), seed * 1'000 + index, deployment.nodeAddresses(), Deployment::host(), Deployment::apiKey()
        };
        callers.emplace_back([&, settings] { Caller(clock, checker, settings).run(isStopping); });
    }
    auto startedAt = clock.now();
    std::vector<std::thread> faults;
    for (const auto &fault : drawFaults(seed, options.length)) {
        std::this_thread::sleep_for(startedAt + fault.startsAt - clock.now());
        faults.emplace_back([&deployment, fault] { deployment.injectFault(fault); });
    }
    std::this_thread::sleep_for(startedAt + options.length - clock.now());
    for (auto &fault : faults) {
        fault.join();
    }
    isStopping = true;
    for (auto &caller : callers) {
        caller.join();
    }
    summary = checker.summarize();
    return checker.check();
}

int runSeeds(const RunOptions &options)
{
    int failed = 0;
    for (auto seed = options.firstSeed; seed < options.firstSeed + options.seeds; ++seed) {
        auto logs = fmt::format("{}/seed-{}", options.logs, seed);
        std::filesystem::create_directories(logs);
        std::string summary;
        auto result = runSeed(options, seed, logs, summary);
        fmt::print("seed {}: {}; {} broken promises\n", seed, summary, result.violations.size() + result.timingViolations.size());
        if (result.violations.empty() && result.timingViolations.empty()) {
            std::filesystem::remove_all(logs);
        } else {
            failed += result.violations.empty() && options.ignoresTimingViolations ? 0 : 1;
            for (const auto &fault : drawFaults(seed, options.length)) {
                fmt::print("    {}\n", describe(fault));
            }
            for (const auto &violation : result.violations) {
                fmt::print("  broken: {}\n", violation);
            }
            for (const auto &violation : result.timingViolations) {
                fmt::print("  broken by a bound on time: {}\n", violation);
            }
            fmt::print("  logs: {}\n", logs);
        }
        std::fflush(stdout);
    }
    return failed == 0 ? 0 : 1;
}

}

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("lovageward-soak", "Runs the gateway as processes under random faults and checks the results that callers and upstreams observe.");
    options.add_options()("role", "run, store or upstream", cxxopts::value<std::string>()->default_value("run"));
    options.add_options()("id", "id of the upstream", cxxopts::value<std::string>()->default_value("u0"));
    options.add_options()(
        "rate-limit", "requests per second that the upstream accepts for some time; 0 for any number", cxxopts::value<double>()->default_value("0"));
    options.add_options()("program", "path of lovageward", cxxopts::value<std::string>()->default_value("Build/Services/lovageward/lovageward"));
    options.add_options()("logs", "directory for the logs of failed seeds", cxxopts::value<std::string>()->default_value("Build/soak-logs"));
    options.add_options()("from", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("10"));
    options.add_options()("seconds", "length of each run in seconds", cxxopts::value<int>()->default_value("12"));
    options.add_options()("nodes", "number of nodes", cxxopts::value<std::size_t>()->default_value("3"));
    options.add_options()("upstreams", "number of upstreams", cxxopts::value<std::size_t>()->default_value("8"));
    options.add_options()("callers", "number of callers", cxxopts::value<std::size_t>()->default_value("12"));
    options.add_options()("only-print-late", "print exceeded time limits without failing the run, for machines that may stall");
    options.parse_positional("role");
    try {
        auto parsed = options.parse(argumentCount, arguments);
        std::signal(SIGPIPE, SIG_IGN);
        auto role = parsed["role"].as<std::string>();
        if (role == "store") {
            return runStoreRole();
        }
        if (role == "upstream") {
            return runUpstreamRole(parsed["id"].as<std::string>(), parsed["rate-limit"].as<double>());
        }
        return runSeeds({ parsed["program"].as<std::string>(),
                          std::filesystem::read_symlink("/proc/self/exe").string(),
                          parsed["logs"].as<std::string>(),
                          parsed["from"].as<std::uint64_t>(),
                          parsed["seeds"].as<std::uint64_t>(),
                          parsed["nodes"].as<std::size_t>(),
                          parsed["upstreams"].as<std::size_t>(),
                          parsed["callers"].as<std::size_t>(),
                          seconds(parsed["seconds"].as<int>()),
                          parsed.count("only-print-late") > 0 });
    } catch (const std::exception &error) {
        fmt::print(stderr, "lovageward-soak: {}\n", error.what());
        return 2;
    }
}
