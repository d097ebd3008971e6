#include <LibClaims/ClaimRouter.h>

#include <LibClaims/ClaimService.h>

#include <algorithm>

namespace Lovageward {

namespace {

// The owner's handler answers within 250 ms, so an owner that takes longer than this is considered unavailable.
constexpr Duration ownerTimeout = seconds(1);

}

ClaimRouter::ClaimRouter(ClaimService &service, const Membership &membership, PeerTransport &transport, const Clock &clock)
    : service(service), membership(membership), transport(transport), clock(clock)
{
}

ClaimAnswer ClaimRouter::requestClaim(const ClaimRequest &request, TimePoint deadline)
{
    auto self = this->membership.self().host;
    auto owner = this->membership.ownerOf(streamOf(partitionOf(request.key)).value());
    auto limit = std::min(deadline, this->clock.now() + ownerTimeout);
    if (owner.host == self) {
        return this->service.claim(request, limit);
    }
    PeerMessage message { PeerMessageKind::ClaimRequest, self, encodeClaimRequest(request) };
    return decodeClaimAnswer(this->transport.request(owner.peerAddress, message, limit));
}

ReportState ClaimRouter::report(const ClaimReport &report, TimePoint deadline)
{
    auto self = this->membership.self().host;
    auto owner = this->membership.ownerOf(streamOf(partitionOf(report.key)).value());
    if (owner.host == self) {
        return this->service.report(report);
    }
    PeerMessage message { PeerMessageKind::ClaimResult, self, encodeClaimReport(report) };
    return decodeReportState(this->transport.request(owner.peerAddress, message, std::min(deadline, this->clock.now() + ownerTimeout)));
}

}
