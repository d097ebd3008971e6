#include <LibGateway/DigestPacer.h>

#include <LibGateway/PeerDigest.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Nodes that speak for others tell how fresh their records are so often (see PeerTable). */
constexpr Duration freshnessInterval = milliseconds(300);

/** News of freshness from two readers are told together. */
constexpr Duration newsPause = milliseconds(250);

/** Times the third power of the group: 12 peers are told of changes 23 times a second, 16 ten times, 50 every three seconds. */
constexpr Duration pausePerCube = microseconds(25);

}

void DigestPacer::loadChanged()
{
    this->hasNewLoad = true;
}

void DigestPacer::recordsComplete()
{
    this->isNewlyComplete = true;
    this->isFresher = true;
}

void DigestPacer::freshnessChanged()
{
    this->isFresher = true;
}

DueDigests DigestPacer::due(TimePoint now, std::size_t peers, bool speaksForOthers)
{
    DueDigests due;
    if (speaksForOthers && (now >= this->freshnessAt || (now >= this->newsAllowedAt && this->isFresher))) {
        this->isFresher = false;
        due.freshness = true;
        this->freshnessAt = now + freshnessInterval;
        this->newsAllowedAt = now + newsPause;
    }
    if (now >= this->stateAt || this->isNewlyComplete) {
        this->isNewlyComplete = false;
        due.state = true;
        this->stateAt = now + digestInterval(peers);
    } else if (now >= this->loadAllowedAt && this->hasNewLoad) {
        due.changes = true;
    }
    if (due.state || due.changes) {
        this->hasNewLoad = false;
        this->loadAllowedAt = now + pausePerCube * static_cast<std::int64_t>(peers * peers * peers);
    }
    return due;
}

TimePoint DigestPacer::next(bool speaksForOthers) const
{
    auto next = this->isNewlyComplete ? TimePoint() : this->stateAt;
    if (this->hasNewLoad) {
        next = std::min(next, this->loadAllowedAt);
    }
    if (speaksForOthers) {
        next = std::min(next, this->isFresher ? std::min(this->newsAllowedAt, this->freshnessAt) : this->freshnessAt);
    }
    return next;
}

}
