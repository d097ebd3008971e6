#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>
#include <LibPolicy/UpstreamTable.h>

#include <cstdint>

namespace Lovageward {

/**
 * Applies the load digests of other nodes to the UpstreamTable. Register it at the PeerRouter for LoadDigest. A digest that
 * was delayed, for example because this node or the sender was paused, is applied with its real age, and one that doesn't
 * state its time by this process's clock isn't applied.
 */
class LoadDigestReceiver final : public PeerHandler
{
public:
    /**
     * `instance` is a random number other than 0 that identifies this process, since the monotonic clock may start anew when the
     * host restarts.
     */
    LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table, std::uint64_t instance);

    /** Throws Error(Forbidden) for a sender that isn't live, because a node that was paused may send an outdated digest. */
    std::string handle(const PeerMessage &message) override;

private:
    const Clock &clock;
    const Membership &membership;
    UpstreamTable &table;
    std::uint64_t instance;
};

}
