#pragma once

#include <LibMembership/Membership.h>

#include <algorithm>

namespace Lovageward {

/** Membership that a test sets. The first member in `members` that has host `own` is this node; `first` owns all keys. */
class FixedMembership final : public Membership
{
public:
    Member self() const override
    {
        return this->memberWith(this->own);
    }

    std::vector<Member> liveMembers() const override
    {
        return this->members;
    }

    Member ownerOf(std::string_view /*key*/) const override
    {
        return this->memberWith(this->first);
    }

    bool canReachAnyPeer() const override
    {
        return this->members.size() > 1;
    }

    /** Adds a live node in region "guj-west" whose peer address is its host id. */
    void add(const std::string &host, Offset configOffset)
    {
        Member member;
        member.host = HostId(host);
        member.region = RegionId("guj-west");
        member.peerAddress = PeerAddress(host);
        member.configOffset = configOffset;
        this->members.push_back(member);
    }

    HostId own;
    HostId first;
    std::vector<Member> members;

private:
    Member memberWith(const HostId &host) const
    {
        auto isWanted = [&host](const Member &member) { return member.host == host; };
        auto found = std::find_if(this->members.begin(), this->members.end(), isWanted);
        return found == this->members.end() ? Member() : *found;
    }
};

}
