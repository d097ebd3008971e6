#include <LibClaims/ResultReporter.h>

#include <LibClaims/ClaimOwner.h>
#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr std::size_t maximumReports = 4096;
constexpr std::size_t maximumQueueBytes = 4096 * kibibyte;
constexpr Duration sendTimeout = seconds(1);
constexpr Duration retryBase = milliseconds(200);
constexpr Duration retryCap = seconds(5);
// After this time the key can't be used any more, so no request needs the result.
constexpr Duration reportLifetime = minutes(12);

}

ResultReporter::ResultReporter(ClaimRouter &router, const Clock &clock, RandomSource &random, Counters &counters)
    : router(router)
    , clock(clock)
    , backoff(random, retryBase, retryCap)
    , dropped(counters.counter("lovageward_claim_reports_dropped_total"))
    , waiting(counters.counter("lovageward_claim_reports_waiting"))
{
}

void ResultReporter::add(ClaimReport report)
{
    // The owner records no larger answer, so sending the body would only waste bandwidth.
    if (report.body.size() > ClaimSettings().maximumAnswerSize) {
        report.body.clear();
        report.isTooLarge = true;
    }
    auto now = this->clock.now();
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->queue.size() >= maximumReports || this->bytes + report.body.size() > maximumQueueBytes) {
        this->dropped.add();
        return;
    }
    this->bytes += report.body.size();
    this->queue.push_back(QueuedReport { std::move(report), now, now + reportLifetime, 0 });
    this->waiting.set(static_cast<std::int64_t>(this->queue.size()));
}

TimePoint ResultReporter::step()
{
    auto now = this->clock.now();
    std::list<QueuedReport>::iterator current;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        current = this->queue.begin();
    }
    auto earliest = TimePoint::max();
    while (true) {
        QueuedReport copy;
        {
            // Only this thread removes items, so the iterator stays valid between the locks.
            std::lock_guard<std::mutex> guard(this->mutex);
            if (current == this->queue.end()) {
                return earliest;
            }
            copy = *current;
        }
        if (copy.dueAt <= now) {
            auto isDelivered = this->deliver(copy);
            std::lock_guard<std::mutex> guard(this->mutex);
            auto item = current++;
            if (isDelivered) {
                this->remove(item);
            } else if (now >= item->dropAt) {
                this->dropped.add();
                this->remove(item);
            } else {
                this->postpone(item);
                earliest = std::min(earliest, item->dueAt);
            }
            continue;
        }
        earliest = std::min(earliest, copy.dueAt);
        std::lock_guard<std::mutex> guard(this->mutex);
        ++current;
    }
}

std::size_t ResultReporter::size() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->queue.size();
}

bool ResultReporter::deliver(const QueuedReport &item)
{
    try {
        return this->router.report(item.report, this->clock.now() + sendTimeout) == ReportState::Recorded;
    } catch (const Error &error) {
        return false;
    }
}

void ResultReporter::postpone(std::list<QueuedReport>::iterator item)
{
    item->dueAt = this->clock.now() + retryBase + this->backoff.delay(item->attempts);
    ++item->attempts;
}

void ResultReporter::remove(std::list<QueuedReport>::iterator item)
{
    this->bytes -= item->report.body.size();
    this->queue.erase(item);
    this->waiting.set(static_cast<std::int64_t>(this->queue.size()));
}

}
