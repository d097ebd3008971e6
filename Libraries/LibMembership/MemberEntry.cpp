#include <LibMembership/MemberEntry.h>

namespace Lovageward {

bool MemberEntry::isLive() const
{
    return this->state != MemberState::Dead && !this->isLeaving && !this->isListedLeaving && this->isConfirmed;
}

MemberUpdate MemberEntry::adjusted(const MemberUpdate &update) const
{
    auto result = update;
    auto isByListOnly = update.incarnation == Incarnation(0) && this->member.incarnation != Incarnation(0);
    if (isByListOnly && update.state >= MemberState::Suspect) {
        result.state = MemberState::Suspect;
        result.incarnation = this->member.incarnation;
    }
    if (this->state == MemberState::Dead && update.state == MemberState::Suspect) {
        result.state = MemberState::Dead;
    }
    return result;
}

bool MemberEntry::isOverriddenBy(const MemberUpdate &update) const
{
    auto isNewer = update.incarnation > this->member.incarnation;
    return isNewer || (update.incarnation == this->member.incarnation && update.state > this->state);
}

void MemberEntry::take(const MemberUpdate &update)
{
    if (update.incarnation > this->member.incarnation && update.state == MemberState::Alive) {
        this->isLeaving = false;
    }
    this->isLeaving = this->isLeaving || update.state == MemberState::Leaving;
    this->member.incarnation = update.incarnation;
    // Suspicions and deaths are told without the address to keep them short.
    if (!update.peerAddress.isEmpty()) {
        this->member.peerAddress = update.peerAddress;
        this->member.region = update.region;
        this->member.failureDomain = update.failureDomain;
    }
}

MemberUpdate MemberEntry::toUpdate() const
{
    MemberUpdate update { this->member.host, this->member.incarnation, this->state, PeerAddress(), RegionId(), FailureDomainId() };
    if (update.state == MemberState::Alive && this->isLeaving) {
        update.state = MemberState::Leaving;
    }
    if (update.state < MemberState::Suspect) {
        update.peerAddress = this->member.peerAddress;
        update.region = this->member.region;
        update.failureDomain = this->member.failureDomain;
    }
    return update;
}

}
