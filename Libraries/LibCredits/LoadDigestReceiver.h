#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>
#include <LibPolicy/UpstreamTable.h>

namespace Lovageward {

/** Puts the load digests of other nodes into the UpstreamTable. Register it at the PeerRouter for LoadDigest. */
class LoadDigestReceiver final : public PeerHandler
{
public:
    LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table);

    /** Throws Error(Forbidden) for a sender that isn't live: a node that was paused for long may send an old digest. */
    std::string handle(const PeerMessage &message) override;

private:
    const Clock &clock;
    const Membership &membership;
    UpstreamTable &table;
};

}
