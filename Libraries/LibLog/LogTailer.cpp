#include <LibLog/LogTailer.h>

#include <LibCore/Error.h>

namespace Lovageward {

LogTailer::LogTailer(LogService &log, StreamName stream, RecordHandler &handler, LogSink &sink, Counters &counters)
    : log(log)
    , stream(std::move(stream))
    , handler(handler)
    , logger(sink, "log")
    , records(counters.counter(fmt::format("lovageward_log_records_read_total{{stream=\"{}\"}}", this->stream.value())))
    , gaps(counters.counter(fmt::format("lovageward_log_gaps_total{{stream=\"{}\"}}", this->stream.value())))
    , outages(counters.counter(fmt::format("lovageward_log_outages_total{{stream=\"{}\"}}", this->stream.value())))
{
}

LogTailer::Step LogTailer::step(TimePoint waitUntil)
{
    LogReadResult result;
    try {
        result = this->log.read(this->stream, this->handler.nextOffset(), recordsPerRead, waitUntil);
    } catch (const Error &error) {
        this->noteOutage(error.what());
        return Step::Unavailable;
    }
    this->noteRecovery();
    this->deliver(result);
    return this->handler.nextOffset() > result.end ? Step::AtEnd : Step::Progress;
}

void LogTailer::deliver(const LogReadResult &result)
{
    if (result.firstRetained > this->handler.nextOffset()) {
        this->gaps.add();
        this->logger.warning("records of stream {} before offset {} have expired unread", this->stream.value(), result.firstRetained.value());
        this->handler.noticeGap(result.firstRetained);
    }
    for (const auto &record : result.records) {
        this->handler.applyRecord(record);
        this->records.add();
    }
    this->handler.noticeEnd(result.end);
}

void LogTailer::noteOutage(const char *reason)
{
    if (this->isLogUnavailable) {
        return;
    }
    this->isLogUnavailable = true;
    this->outages.add();
    this->logger.warning("stream {} can't be read: {}", this->stream.value(), reason);
}

void LogTailer::noteRecovery()
{
    if (!this->isLogUnavailable) {
        return;
    }
    this->isLogUnavailable = false;
    this->logger.info("stream {} can be read again", this->stream.value());
}

}
