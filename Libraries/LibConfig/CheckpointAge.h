#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>

namespace Lovageward {

/**
 * The records that a node starting from the newest checkpoint has to read besides it. Tells how urgent a new checkpoint is.
 * The age counts from the oldest of these records and not from the checkpoint's own append, because a checkpoint whose append
 * was delayed becomes useless when the first record after its state expires.
 */
class CheckpointAge
{
public:
    /** Notes a record of the stream; checkpoints count as records, but not as changes. */
    void noteRecord(Offset offset, LogTime appendedAt, bool isChange);

    /** Notes a checkpoint of the state as of the given offset, after noteRecord() for its own record. */
    void noteCheckpoint(Offset asOf);

    /** Number of changes that the newest checkpoint doesn't contain. */
    std::size_t changeCount() const;

    /** Append time of the oldest record that a node starting now would have to read; absent if the stream is empty. */
    std::optional<LogTime> oldestNeeded() const;

private:
    struct NotedRecord
    {
        Offset offset;
        LogTime appendedAt;
        bool isChange;
    };

    std::deque<NotedRecord> records;
};

}
