#pragma once

#include <LibCore/Clock.h>
#include <LibLog/LogService.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace Lovageward {

/** Log in the memory of one process, for the embedded mode and for tests. Nothing survives the process. */
class InMemoryLogService : public LogService
{
public:
    /** Records older than the retention are dropped at the next append to their stream. */
    InMemoryLogService(const Clock &clock, Duration retention);

    AppendReceipt append(const StreamName &stream, const std::string &payload, TimePoint deadline) override;

    /** Waits on the wall clock, so with a manual clock pass a `waitUntil` that isn't in the future. */
    LogReadResult read(const StreamName &stream, Offset from, std::size_t maximumRecords, TimePoint waitUntil) override;

private:
    struct Stream
    {
        std::deque<LogRecord> records;
        Offset end;
    };

    LogReadResult readLocked(const StreamName &stream, Offset from, std::size_t maximumRecords);
    void dropExpired(Stream &stream, LogTime now) const;
    LogTime logNow() const;

    const Clock &clock;
    Duration retention;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<StreamName, Stream> streams;
};

}
