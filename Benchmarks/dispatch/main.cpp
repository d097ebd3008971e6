#include "BenchEnvironment.h"

#include <LibCore/SystemClock.h>

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace Lovageward;

namespace {

double toNanoseconds(Duration duration)
{
    return std::chrono::duration<double, std::nano>(duration).count();
}

double toMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

/** Returns the CPU time of this thread, which unlike wall time hardly depends on other load of the machine. */
Duration readThreadCpuTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

struct ResourceUsage
{
    Duration cpu = Duration(0);
    long voluntarySwitches = 0;

    static ResourceUsage read()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        auto toDuration = [](const timeval &time) { return seconds(time.tv_sec) + microseconds(time.tv_usec); };
        return { .cpu = toDuration(usage.ru_utime) + toDuration(usage.ru_stime), .voluntarySwitches = usage.ru_nvcsw };
    }
};

/** Acquires and releases placements from `threadCount` threads and prints the cost per pair of acquire and release. */
void measureThreads(std::size_t threadCount, std::size_t slots, std::size_t rounds)
{
    SystemClock wall;
    BenchEnvironment environment(slots);
    QueueingDispatcher dispatcher(environment.settings,
                                  environment.clock,
                                  environment.random,
                                  environment.configuration,
                                  environment.table,
                                  environment.chooser,
                                  environment.credits,
                                  environment.link,
                                  environment.counters,
                                  environment.sink);
    std::vector<std::vector<Duration>> latencies(threadCount);
    auto work = [&](std::size_t thread) {
        auto item = environment.makeItem(thread, 10);
        latencies[thread].reserve(rounds);
        for (std::size_t round = 0; round < rounds; ++round) {
            auto start = wall.now();
            auto placement = dispatcher.acquire(item);
            latencies[thread].push_back(wall.now() - start);
            dispatcher.reportProgress(placement.id, TokenCount(100));
            dispatcher.release(placement.id, PlacementOutcome::Completed);
        }
    };
    auto before = ResourceUsage::read();
    auto start = wall.now();
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (std::size_t thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back(work, thread);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    auto elapsed = wall.now() - start;
    auto after = ResourceUsage::read();
    std::vector<Duration> all;
    for (const auto &part : latencies) {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::sort(all.begin(), all.end());
    auto pairs = static_cast<double>(all.size());
    fmt::print("threads={:<4} slots={:<6} pairs={:<7} wall/pair={:7.0f} ns  cpu/pair={:7.0f} ns  switches/pair={:5.2f}  acquire p50={:.0f} us p99={:.0f} us\n",
               threadCount,
               slots,
               all.size(),
               toNanoseconds(elapsed) / pairs,
               toNanoseconds(after.cpu - before.cpu) / pairs,
               static_cast<double>(after.voluntarySwitches - before.voluntarySwitches) / pairs,
               toMicroseconds(all[all.size() / 2]),
               toMicroseconds(all[all.size() * 99 / 100]));
}

/** Prints the heap memory in bytes per queued request or per running placement. */
void measureMemory(bool isQueued)
{
    constexpr std::size_t count = 50000;
    BenchEnvironment environment(isQueued ? 0 : count);
    DispatchCore core(
        environment.settings, environment.clock, environment.random, environment.configuration, environment.placer, environment.counters, environment.logger);
    auto before = mallinfo2().uordblks;
    for (std::size_t number = 0; number < count; ++number) {
        core.submit(environment.makeItem(number, 320));
        core.takeDecisions();
    }
    auto bytes = static_cast<double>(mallinfo2().uordblks - before) / count;
    fmt::print("{}: {:.0f} B of heap each, over 320 teams and 2 classes\n", isQueued ? "queued request" : "running placement", bytes);
}

/** Prints the CPU time of a release that places the next request and that of an arrival, at a constant queue length. */
void measureQueue(std::size_t teams, std::size_t queued)
{
    constexpr std::size_t running = 64;
    constexpr std::size_t rounds = 20000;
    BenchEnvironment environment(running);
    DispatchCore core(
        environment.settings, environment.clock, environment.random, environment.configuration, environment.placer, environment.counters, environment.logger);
    std::deque<PlacementId> placements;
    auto collect = [&] {
        for (auto &decision : core.takeDecisions()) {
            placements.push_back(std::get<Placement>(decision.result).id);
        }
    };
    std::size_t number = 0;
    for (; number < queued + running; ++number) {
        core.submit(environment.makeItem(number, teams));
        collect();
    }
    Duration releaseTime(0);
    Duration submitTime(0);
    for (std::size_t round = 0; round < rounds; ++round, ++number) {
        environment.clock.advance(milliseconds(1));
        auto start = readThreadCpuTime();
        core.recordProgress(placements.front(), TokenCount(10 + number % 500));
        core.release(placements.front(), PlacementOutcome::Completed);
        auto middle = readThreadCpuTime();
        placements.pop_front();
        collect();
        auto item = environment.makeItem(number, teams);
        auto submitStart = readThreadCpuTime();
        core.submit(item);
        submitTime += readThreadCpuTime() - submitStart;
        collect();
        releaseTime += middle - start;
    }
    fmt::print("teams={:<4} queued={:<6} release and place next={:6.2f} us CPU  arrival={:6.2f} us CPU\n",
               teams,
               queued,
               toMicroseconds(releaseTime) / rounds,
               toMicroseconds(submitTime) / rounds);
}

}

int main()
{
    fmt::print("acquire, progress and release, no request waits\n");
    measureThreads(1, 100000, 200000);
    measureThreads(400, 100000, 1000);
    fmt::print("acquire, progress and release, most requests wait\n");
    measureThreads(400, 200, 1000);
    measureThreads(400, 20, 1000);
    fmt::print("memory\n");
    measureMemory(true);
    measureMemory(false);
    fmt::print("cost by number of teams and queue length, without threads\n");
    for (std::size_t teams : { 10U, 100U, 320U }) {
        for (std::size_t queued : { 400U, 4000U, 40000U }) {
            measureQueue(teams, queued);
        }
    }
    return 0;
}
