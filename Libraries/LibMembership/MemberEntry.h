#pragma once

#include <LibCore/Time.h>
#include <LibMembership/GossipMessage.h>
#include <LibMembership/Membership.h>

#include <cstddef>

namespace Lovageward {

/** A member to be probed. */
struct ProbeTarget
{
    HostId host;
    PeerAddress peerAddress;
};

/** What one node knows about a member. */
struct MemberEntry
{
    Member member;
    MemberState state = MemberState::Alive;
    /** Survives a suspicion, so that a refuted one doesn't make a leaving member an owner again. */
    bool isLeaving = false;
    bool isListed = false;
    bool isListedLeaving = false;
    /** False for hosts known only from the updates of others; they are probed but not live. */
    bool isConfirmed = true;
    /** True if this node began the suspicion, rather than hearing of it. */
    bool isOwnSuspicion = false;
    TimePoint suspicionDeadline;
    TimePoint forgetAt;
    /** Messages that still carry the update about this member. */
    std::size_t sendsLeft = 0;

    /** Takes part in ownership. Suspects do until they die. */
    bool isLive() const;

    /**
     * The update as it applies here. A suspicion or death at incarnation 0 comes from a node that knows the member from the
     * host list only; it counts as a suspicion of the known incarnation, since else it would be ignored and the death found
     * late. A dead member doesn't become suspect again at a higher incarnation.
     */
    MemberUpdate adjusted(const MemberUpdate &update) const;

    /** True if the update overrides this entry: a higher incarnation, or a stronger state at the same one. */
    bool isOverriddenBy(const MemberUpdate &update) const;

    /** Takes over everything but the state. */
    void take(const MemberUpdate &update);

    MemberUpdate toUpdate() const;

    ProbeTarget toTarget() const
    {
        return { this->member.host, this->member.peerAddress };
    }
};

}
