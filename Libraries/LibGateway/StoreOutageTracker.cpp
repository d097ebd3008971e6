#include <LibGateway/StoreOutageTracker.h>

#include <LibGateway/PeerDigest.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Shortest outage; reports of the store's answers are up to this old while the store is available. */
constexpr Duration minimumOutage = milliseconds(1500);

/** Time after an outage for which upstreams may be missing. Live upstreams whose registrations expired register again within 2 s. */
constexpr Duration removalGrace = milliseconds(2300);

/** Largest difference between the times at which two nodes see the start or the end of the same outage. */
constexpr Duration reportTolerance = milliseconds(300);

}

std::optional<StoreOutage> StoreOutageTracker::recordAnswer(TimePoint answeredAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (!this->lastAnswerAt || answeredAt <= *this->lastAnswerAt) {
        this->lastAnswerAt = std::max(this->lastAnswerAt.value_or(answeredAt), answeredAt);
        return std::nullopt;
    }
    StoreOutage silence { *this->lastAnswerAt, answeredAt };
    this->lastAnswerAt = answeredAt;
    auto isLastSilenceOld = !this->lastSilence || this->lastSilence->endedAt + removalGrace < now;
    if (isLastSilenceOld || silence.endedAt - silence.startedAt > this->lastSilence->endedAt - this->lastSilence->startedAt) {
        this->lastSilence = silence;
    }
    if (!this->failedReadStartedAt || answeredAt < *this->failedReadStartedAt) {
        return std::nullopt;
    }
    this->failedReadStartedAt.reset();
    this->lastOutage = silence;
    return silence;
}

bool StoreOutageTracker::recordFailedRead(TimePoint startedAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->failedReadStartedAt || !this->lastAnswerAt || startedAt - *this->lastAnswerAt < minimumOutage) {
        return false;
    }
    this->failedReadStartedAt = startedAt;
    return true;
}

bool StoreOutageTracker::recordPeerReport(const StoreOutageReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto receivedAt = this->clock.now() - hopAgeAllowance;
    StoreOutage outage { receivedAt - report.startAge, receivedAt - report.endAge };
    auto isNewer = !this->lastOutage || this->lastOutage->endedAt < outage.endedAt;
    if (!isNewer || outage.endedAt - outage.startedAt < minimumOutage || !this->isWithinSilence(outage)) {
        return false;
    }
    this->lastOutage = outage;
    return this->clock.now() < this->graceUntil();
}

bool StoreOutageTracker::isWithinSilence(const StoreOutage &outage) const
{
    if (!this->lastAnswerAt) {
        return true;
    }
    auto covers = [&outage](TimePoint startedAt, TimePoint endedAt) {
        return startedAt <= outage.startedAt + reportTolerance && outage.endedAt - reportTolerance <= endedAt;
    };
    return covers(*this->lastAnswerAt, this->clock.now()) || (this->lastSilence && covers(this->lastSilence->startedAt, this->lastSilence->endedAt));
}

std::optional<StoreOutageReport> StoreOutageTracker::recentOutage() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (now >= this->graceUntil()) {
        return std::nullopt;
    }
    return StoreOutageReport { now - this->lastOutage->startedAt, now - this->lastOutage->endedAt };
}

bool StoreOutageTracker::isOutageOngoing() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->failedReadStartedAt.has_value();
}

TimePoint StoreOutageTracker::removalGraceUntil() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->graceUntil();
}

TimePoint StoreOutageTracker::graceUntil() const
{
    return this->lastOutage ? this->lastOutage->endedAt + removalGrace : TimePoint();
}

}
