#pragma once

#include <LibCore/Clock.h>
#include <LibLease/LeaseTable.h>
#include <LibLog/LogService.h>

#include <mutex>
#include <optional>

namespace Lovageward {

/**
 * A node's copy of the stream `leases`, shared by all its lease holders. It is read only when a holder asks, and at first
 * only from `leaseReadSpan` before the end of the stream. Thread-safe; the mutex isn't held while the log is called.
 */
class LeaseLog
{
public:
    LeaseLog(LogService &log, const Clock &clock);

    /** Applies all records up to the end of the stream. Throws Error(LogUnavailable). */
    void refresh(TimePoint deadline);

    /** Appends a record. Throws what LogService::append throws. */
    AppendReceipt append(const LeaseRecord &record, TimePoint deadline);

    /** Newest accepted lease of the name that isn't forgotten, as of the last refresh. */
    std::optional<Lease> find(const LeaseName &name) const;

    /** Log time that has certainly been reached. It lags while nobody writes to the stream. */
    LogTime reachedLogTime() const;

    /** Number of leases in memory. */
    std::size_t size() const;

private:
    Offset startOffset(TimePoint deadline);
    void apply(const LogReadResult &result);
    LogTime reachedLocked() const;

    LogService &log;
    const Clock &clock;
    mutable std::mutex mutex;
    LeaseTable table;
    /** Next offset to read; 0 before the first read. */
    Offset next;
    LogTime newestAppend;
    TimePoint newestAppendSeenAt;
};

}
