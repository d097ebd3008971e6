#include "ClaimBench.h"

#include <fmt/format.h>

#include <cstdlib>

using namespace Lovageward;

namespace {

void printRow(int nodes, int rate, Duration length)
{
    ClaimBench bench(nodes, rate, 1);
    auto result = bench.run(length);
    auto seconds = std::chrono::duration<double>(length).count();
    auto calls = static_cast<double>(result.calls);
    auto perCall = [calls](auto count) { return static_cast<double>(count) / calls; };
    auto mean = result.granted == 0 ? 0.0 : std::chrono::duration<double, std::milli>(result.totalWait).count() / static_cast<double>(result.granted);
    fmt::print("{:>6} {:>8} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.0f} {:>9.0f} {:>8.2f} {:>8.1f} {:>8.0f} {:>8.0f} {:>8}\n",
               nodes,
               rate,
               static_cast<double>(result.routedAppends) / seconds,
               static_cast<double>(result.ownBatchAppends) / seconds,
               static_cast<double>(result.ownPartitionAppends) / seconds,
               perCall(result.logBytes),
               perCall(result.peerBytes),
               perCall(result.peerMessages),
               result.cpuSeconds * 1e6 / calls,
               mean,
               std::chrono::duration<double, std::milli>(result.longestWait).count(),
               result.refused);
}

}

/** Usage: lovageward-bench-claims [nodes [seconds]]. Times are those of a manual clock; only the CPU column is measured. */
int main(int argumentCount, char **arguments)
{
    auto nodes = argumentCount > 1 ? std::atoi(arguments[1]) : 8;
    auto length = argumentCount > 2 ? std::atoi(arguments[2]) : 60;
    fmt::print("                  appends/s                     per call\n");
    fmt::print("{:>6} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
               "nodes",
               "calls/s",
               "routed",
               "own",
               "own/part",
               "log B",
               "peer B",
               "msgs",
               "CPU us",
               "mean ms",
               "max ms",
               "refused");
    for (auto rate : { 2, 10, 50, 200, 800 }) {
        printRow(nodes, rate, seconds(length));
    }
    auto memory = measureClaimMemory(100'000, 200);
    fmt::print("memory per claim: {:.0f} B open, {:.0f} B with an answer of 200 B\n", memory.open, memory.finished);
    return 0;
}
