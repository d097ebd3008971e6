#pragma once

#include <LibCore/MemoryAccount.h>

#include <cstdint>

namespace Lovageward {

/** What a process takes up before it has any client, and what each client's connection takes up. */
struct ProcessFootprint
{
    /** Resident memory of the process without clients, in megabytes. */
    std::int64_t ownMegabytes = 0;
    /** Bytes of a connection in user space: used part of its stack, buffers and state. */
    std::uint64_t connectionBytes = 0;
};

/** How the memory of a process is divided. */
struct MemoryBudget
{
    MemoryLimits limits;
    /** Open connections that fit beside a part of the account that is left to bodies and responses. */
    std::int64_t maximumConnections = 0;
};

/** Divides the memory that the process may use, in megabytes. */
MemoryBudget makeMemoryBudget(std::int64_t megabytes, const ProcessFootprint &footprint);

/** Makes the allocator return the memory of large bodies to the kernel when they are freed, as the account of memory assumes. To be called before any thread.
 */
void limitAllocator();

}
