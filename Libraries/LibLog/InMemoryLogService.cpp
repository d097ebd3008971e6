#include <LibLog/InMemoryLogService.h>

#include <algorithm>

namespace Lovageward {

InMemoryLogService::InMemoryLogService(const Clock &clock, Duration retention) : clock(clock), retention(retention)
{
}

AppendReceipt InMemoryLogService::append(const StreamName &stream, const std::string &payload, TimePoint /*deadline*/)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &target = this->streams[stream];
    auto now = this->logNow();
    this->dropExpired(target, now);
    target.end = Offset(target.end.value() + 1);
    target.records.push_back(LogRecord { target.end, now, payload });
    this->appended.notify_all();
    return AppendReceipt { target.end, now };
}

LogReadResult InMemoryLogService::read(const StreamName &stream, Offset from, std::size_t maximumRecords, TimePoint waitUntil)
{
    std::unique_lock<std::mutex> guard(this->mutex);
    auto hasRecord = [&] { return this->streams[stream].end >= from; };
    auto patience = waitUntil - this->clock.now();
    if (patience > Duration(0)) {
        this->appended.wait_for(guard, patience, hasRecord);
    }
    return this->readLocked(stream, from, maximumRecords);
}

LogReadResult InMemoryLogService::readLocked(const StreamName &stream, Offset from, std::size_t maximumRecords)
{
    const auto &source = this->streams[stream];
    LogReadResult result;
    result.end = source.end;
    result.firstRetained = source.records.empty() ? Offset(source.end.value() + 1) : source.records.front().offset;
    auto isBefore = [](const LogRecord &record, Offset offset) { return record.offset < offset; };
    auto position = std::lower_bound(source.records.begin(), source.records.end(), from, isBefore);
    for (; position != source.records.end() && result.records.size() < maximumRecords; ++position) {
        result.records.push_back(*position);
    }
    return result;
}

void InMemoryLogService::dropExpired(Stream &stream, LogTime now) const
{
    while (!stream.records.empty() && stream.records.front().appendedAt + this->retention < now) {
        stream.records.pop_front();
    }
}

LogTime InMemoryLogService::logNow() const
{
    return LogTime(this->clock.wallNow().time_since_epoch());
}

}
