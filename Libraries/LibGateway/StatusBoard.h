#pragma once

#include <LibGateway/RolloutRecords.h>

#include <cstdint>
#include <optional>

namespace Lovageward {

/** The newest report of a pool, and the end of the topic of reports at the time of the read. */
struct StatusBoardEntry
{
    std::optional<RolloutStatus> status;
    std::uint64_t end = 0;
};

/** Result of a conditional write to a StatusBoard. */
enum class StatusWriteResult {
    Written,
    /** The topic has grown since it was read, so nothing was written. */
    Conflict,
};

/** The topic of the platform's store in which the system reports the state of roll-outs. */
class StatusBoard
{
public:
    virtual ~StatusBoard() = default;

    /** Returns the newest report of the pool. Throws Error(LogUnavailable). */
    virtual StatusBoardEntry readNewest(const PoolId &pool, TimePoint deadline) = 0;

    /**
     * Writes the report if the topic still ends at `end`. Throws Error(LogUnavailable) if no response arrives; the report may have been written, or may
     * be written later if the topic still ends at `end` then.
     */
    virtual StatusWriteResult writeAt(const RolloutStatus &status, std::uint64_t end, TimePoint deadline) = 0;
};

}
