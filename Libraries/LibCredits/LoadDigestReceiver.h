#pragma once

#include <LibCore/Clock.h>
#include <LibCredits/DelayEstimator.h>
#include <LibCredits/LoadDigest.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>
#include <LibPolicy/UpstreamTable.h>

#include <map>
#include <mutex>

namespace Lovageward {

/**
 * Puts the load digests of other nodes into the UpstreamTable. Register it at the PeerRouter for LoadDigest. A digest that
 * was delayed, for example while this node or the sender was paused, is stored with its true age.
 * Thread-safe; the mutex guards the delay estimates and isn't held while the table is changed.
 */
class LoadDigestReceiver final : public PeerHandler
{
public:
    LoadDigestReceiver(const Clock &clock, const Membership &membership, UpstreamTable &table);

    /** Throws Error(Forbidden) for a sender that isn't live: a node that was paused for long may send an old digest. */
    std::string handle(const PeerMessage &message) override;

private:
    TimePoint localTimeOf(const HostId &sender, const LoadDigest &digest);

    const Clock &clock;
    const Membership &membership;
    UpstreamTable &table;
    std::mutex mutex;
    std::map<HostId, DelayEstimator> estimators;
};

}
