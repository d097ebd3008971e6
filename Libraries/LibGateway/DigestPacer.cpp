#include <LibGateway/DigestPacer.h>

#include <LibGateway/PeerDigest.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Nodes that read the store for all tell how fresh their reads are so often (see PeerTable). */
constexpr Duration readerInterval = milliseconds(300);

/** Changes of load are told at once, but a node sends at most about 200 such digests a second altogether. */
constexpr Duration pausePerPeer = milliseconds(5);

}

void DigestPacer::loadChanged()
{
    this->hasNewLoad = true;
}

void DigestPacer::recordsRead()
{
    this->hasNewRecords = true;
}

DigestAudience DigestPacer::due(TimePoint now)
{
    if (this->hasNewRecords.exchange(false) || now >= this->allAt) {
        this->hasNewLoad = false;
        return DigestAudience::All;
    }
    if (now < this->loadAllowedAt || !this->hasNewLoad.exchange(false)) {
        return DigestAudience::Nobody;
    }
    return DigestAudience::Near;
}

void DigestPacer::sent(TimePoint now, DigestAudience audience, std::size_t peers, bool isReader)
{
    this->loadAllowedAt = now + pausePerPeer * static_cast<int>(peers);
    if (audience == DigestAudience::All) {
        auto interval = digestInterval(peers);
        this->allAt = now + (isReader ? std::min(interval, readerInterval) : interval);
    }
}

TimePoint DigestPacer::next() const
{
    return this->hasNewLoad ? std::min(this->loadAllowedAt, this->allAt) : this->allAt;
}

}
