#pragma once

#include <LibCore/Ids.h>
#include <LibPeer/PeerTransport.h>

#include <optional>
#include <string_view>
#include <vector>

namespace Lovageward {

/** A live node as this node knows it. */
struct Member
{
    HostId host;
    Incarnation incarnation;
    RegionId region;
    FailureDomainId failureDomain;
    PeerAddress peerAddress;
    /** Newest `config` offset that the node is known to have applied. */
    Offset configOffset;
};

/** View of the live nodes. Reading is safe from several threads. */
class Membership
{
public:
    virtual ~Membership() = default;

    /** This node. */
    virtual Member self() const = 0;

    /** Live nodes including this one and excluding suspected-dead and leaving ones, sorted by host id. */
    virtual std::vector<Member> liveMembers() const = 0;

    /** Live node that ranks first for the key by rendezvous hashing. It is this node when no other is live. */
    virtual Member ownerOf(std::string_view key) const = 0;

    /** True if this node has exchanged a message with any other live node within the isolation time, or none is listed. */
    virtual bool canReachAnyPeer() const = 0;
};

}
