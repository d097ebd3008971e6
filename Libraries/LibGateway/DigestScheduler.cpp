#include <LibGateway/DigestScheduler.h>

#include <LibGateway/PeerDigest.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Longest time between two digests of a relay or reader with the age of its records (see PeerTable). */
constexpr Duration freshnessInterval = milliseconds(300);

/** Shortest time between two digests of freshness, so that the updates of both readers share one digest. */
constexpr Duration freshnessChangePause = milliseconds(250);

/** Multiplied by the cube of the group size: load changes go to 12 peers 23 times per second, to 16 peers 10 times per second and to 50 peers every 3 s. */
constexpr Duration pausePerCubedPeers = microseconds(25);

}

void DigestScheduler::markLoadChanged()
{
    this->hasLoadChange = true;
}

void DigestScheduler::markRecordsComplete()
{
    this->hasNewlyCompleteRecords = true;
    this->hasFreshnessChange = true;
}

void DigestScheduler::markFreshnessChanged()
{
    this->hasFreshnessChange = true;
}

void DigestScheduler::markNotice()
{
    this->hasNotice = true;
}

DueDigests DigestScheduler::takeDue(TimePoint now, std::size_t peers, bool isRelayOrReader)
{
    DueDigests due;
    auto hasChange = this->hasNotice || (isRelayOrReader && this->hasFreshnessChange);
    if ((isRelayOrReader && now >= this->freshnessDueAt) || (now >= this->freshnessChangeAllowedAt && hasChange)) {
        this->hasFreshnessChange = false;
        this->hasNotice = false;
        due.isFreshnessDue = true;
        this->freshnessDueAt = now + freshnessInterval;
        this->freshnessChangeAllowedAt = now + freshnessChangePause;
    }
    if (now >= this->fullStateDueAt || this->hasNewlyCompleteRecords) {
        this->hasNewlyCompleteRecords = false;
        due.isFullStateDue = true;
        this->fullStateDueAt = now + fullStateInterval(peers);
    } else if (now >= this->loadChangeAllowedAt && this->hasLoadChange) {
        due.isLoadChangeDue = true;
    }
    if (due.isFullStateDue || due.isLoadChangeDue) {
        this->hasLoadChange = false;
        this->loadChangeAllowedAt = now + pausePerCubedPeers * static_cast<std::int64_t>(peers * peers * peers);
    }
    return due;
}

TimePoint DigestScheduler::nextDueAt(bool isRelayOrReader) const
{
    auto next = this->hasNewlyCompleteRecords ? TimePoint() : this->fullStateDueAt;
    if (this->hasLoadChange) {
        next = std::min(next, this->loadChangeAllowedAt);
    }
    if (isRelayOrReader) {
        next = std::min(next, this->hasFreshnessChange ? std::min(this->freshnessChangeAllowedAt, this->freshnessDueAt) : this->freshnessDueAt);
    }
    if (this->hasNotice) {
        next = std::min(next, this->freshnessChangeAllowedAt);
    }
    return next;
}

}
