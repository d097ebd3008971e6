#pragma once

#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibLog/RecordHandler.h>

namespace Lovageward {

/** Reads one stream and hands its records to a handler, one step at a time. Not thread-safe; one thread drives it. */
class LogTailer
{
public:
    enum class Step {
        /** Records were handed over and more may be waiting. */
        Progress,
        /** The handler has everything that the log returned. */
        AtEnd,
        /** The log could not be read. */
        Unavailable,
    };

    LogTailer(LogService &log, StreamName stream, RecordHandler &handler, LogSink &sink, Counters &counters);

    /** Reads once, waiting for a record until `waitUntil`. Never throws Error(LogUnavailable). */
    Step step(TimePoint waitUntil);

private:
    void deliver(const LogReadResult &result);
    void noteOutage(const char *reason);
    void noteRecovery();

    /** Bounds the memory of one read. */
    static constexpr std::size_t recordsPerRead = 256;

    LogService &log;
    StreamName stream;
    RecordHandler &handler;
    Logger logger;
    Counter &records;
    Counter &gaps;
    Counter &outages;
    bool isLogUnavailable = false;
};

}
