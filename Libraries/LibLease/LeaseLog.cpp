#include <LibLease/LeaseLog.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

const StreamName leaseStream("leases");
constexpr std::size_t recordsPerRead = 1000;

}

LeaseLog::LeaseLog(LogService &log, const Clock &clock) : log(log), clock(clock)
{
}

void LeaseLog::refresh(TimePoint deadline)
{
    Offset from;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        from = this->next;
    }
    if (from == Offset()) {
        from = this->startOffset(deadline);
    }
    while (true) {
        if (this->clock.now() > deadline) {
            throw Error(ResultCode::LogUnavailable, RunState::NotRun, "the lease stream could not be read in time");
        }
        // A time that has passed makes the read return at once.
        auto result = this->log.read(leaseStream, from, recordsPerRead, this->clock.now());
        this->apply(result);
        if (result.records.empty() || result.records.back().offset >= result.end) {
            return;
        }
        from = Offset(result.records.back().offset.value() + 1);
    }
}

AppendReceipt LeaseLog::append(const LeaseRecord &record, TimePoint deadline)
{
    return this->log.append(leaseStream, encodeLeaseRecord(record), deadline);
}

std::optional<Lease> LeaseLog::find(const LeaseName &name) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.find(name, this->reachedLocked());
}

LogTime LeaseLog::reachedLogTime() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->reachedLocked();
}

std::size_t LeaseLog::size() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.size();
}

Offset LeaseLog::startOffset(TimePoint deadline)
{
    auto now = this->clock.now();
    auto head = this->log.read(leaseStream, Offset(1), 1, now);
    if (head.records.empty()) {
        return Offset(1);
    }
    auto tail = this->log.read(leaseStream, head.end, 1, now);
    if (tail.records.empty()) {
        return head.firstRetained;
    }
    auto target = tail.records.front().appendedAt - leaseReadSpan;
    auto low = head.firstRetained.value();
    auto high = head.end.value();
    // Append times don't decrease with the offset, so the start is found with a few reads of one record.
    while (low < high && this->clock.now() < deadline) {
        auto middle = low + (high - low) / 2;
        auto probe = this->log.read(leaseStream, Offset(middle), 1, this->clock.now());
        if (!probe.records.empty() && probe.records.front().appendedAt < target) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return Offset(low);
}

void LeaseLog::apply(const LogReadResult &result)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->next != Offset() && result.firstRetained > this->next) {
        // The retention exceeds the read span, so whatever stood in the gap is forgotten.
        this->table = LeaseTable();
    }
    for (const auto &record : result.records) {
        if (record.offset < this->next) {
            continue;
        }
        this->next = Offset(record.offset.value() + 1);
        if (record.appendedAt > this->reachedLocked()) {
            this->newestAppend = record.appendedAt;
            this->newestAppendSeenAt = this->clock.now();
        }
        if (auto lease = decodeLeaseRecord(record.payload)) {
            this->table.apply(record.offset, record.appendedAt, *lease);
        }
    }
}

LogTime LeaseLog::reachedLocked() const
{
    return this->newestAppend + (this->clock.now() - this->newestAppendSeenAt);
}

}
