#include <LibNode/MemoryBudget.h>

#include <LibHttp/Listener.h>

#include <malloc.h>

namespace Lovageward {

namespace {

constexpr std::int64_t bytesPerMegabyte = 1'000'000;

/** Part of the remaining memory that the account hands out, in percent. The rest covers fragmentation and rounding of the allocator. */
constexpr std::int64_t accountedPercent = 80;

/** Part of the account that connections may take without any body, in percent. */
constexpr std::int64_t connectionPercent = 65;

/** Part of the account that bodies leave to responses and connections, as a divisor. */
constexpr std::uint64_t withoutBodiesDivisor = 8;

}

MemoryBudget makeMemoryBudget(std::int64_t megabytes, const ProcessFootprint &footprint)
{
    auto accountBytes = (megabytes - footprint.ownMegabytes) * bytesPerMegabyte * accountedPercent / 100;
    MemoryBudget budget;
    budget.limits.totalBytes = static_cast<std::uint64_t>(accountBytes);
    budget.limits.connectionBytes = footprint.connectionBytes;
    budget.limits.bytesWithoutBodies = budget.limits.totalBytes / withoutBodiesDivisor;
    budget.maximumConnections = accountBytes * connectionPercent / 100 / static_cast<std::int64_t>(footprint.connectionBytes + defaultUnreadBytes);
    return budget;
}

void limitAllocator()
{
    // By default glibc raises its threshold with the first large body, and keeps an arena for each of many threads.
    constexpr int returnedBytes = 262'144;
    constexpr int arenas = 2;
    ::mallopt(M_MMAP_THRESHOLD, returnedBytes);
    ::mallopt(M_ARENA_MAX, arenas);
}

}
