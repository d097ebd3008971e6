#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Lovageward {

/** One record as the platform log returns it. */
struct LogRecord
{
    Offset offset;
    LogTime appendedAt;
    std::string payload;
};

/** Offset and time that the log gave to an appended record. */
struct AppendReceipt
{
    Offset offset;
    LogTime appendedAt;
};

struct LogReadResult
{
    /** Records in offset order, starting at the requested offset unless that has expired. */
    std::vector<LogRecord> records;
    /** Oldest offset that the log still keeps. */
    Offset firstRetained;
    /** Offset of the newest record, 0 if the stream is empty. */
    Offset end;
};

/**
 * The platform's append-only log (docs/design.md, section 7). Offsets start at 1 in every stream.
 * Calls block until the deadline at most. Implementations are safe to call from several threads.
 */
class LogService
{
public:
    virtual ~LogService() = default;

    /**
     * Appends one record.
     * Throws Error(LogUnavailable) if the record was certainly not appended, and Error(OutcomeUnknown) if it may have been
     * or may yet be; the caller then reads the stream to learn the outcome.
     */
    virtual AppendReceipt append(const StreamName &stream, const std::string &payload, TimePoint deadline) = 0;

    /**
     * Reads records with an offset of at least `from`. Waits for a record until `waitUntil` if there is none; a time in the
     * past returns at once. Throws Error(LogUnavailable).
     * If `from` is below firstRetained, records start at firstRetained and the caller must notice the gap.
     */
    virtual LogReadResult read(const StreamName &stream, Offset from, std::size_t maximumRecords, TimePoint waitUntil) = 0;
};

}
