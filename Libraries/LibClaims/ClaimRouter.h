#pragma once

#include <LibClaims/ClaimMessages.h>
#include <LibClaims/ClaimPartition.h>
#include <LibCore/Clock.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>

namespace Lovageward {

class ClaimService;

/** Sends requests and reports to the owner of their key, without the transport if this node is the owner. Thread-safe. */
class ClaimRouter
{
public:
    ClaimRouter(ClaimService &service, const Membership &membership, PeerTransport &transport, const Clock &clock);

    /** Both throw Error(PeerUnreachable, PeerTimeout or MalformedMessage); the message may have been delivered in all cases. */
    ClaimAnswer requestClaim(const ClaimRequest &request, TimePoint deadline);
    ReportState report(const ClaimReport &report, TimePoint deadline);

private:
    ClaimService &service;
    const Membership &membership;
    PeerTransport &transport;
    const Clock &clock;
};

}
