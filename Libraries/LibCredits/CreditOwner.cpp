#include <LibCore/Error.h>
#include <LibCredits/CreditMessages.h>
#include <LibCredits/CreditOwner.h>
#include <LibPeer/MessageWriter.h>

#include <algorithm>

namespace Lovageward {

CreditOwner::CreditOwner(const Clock &clock, RandomSource &random, ColdStartLease &lease, LogSink &sink, Counters &counters, const CreditOwnerOptions &options)
    : clock(clock)
    , random(random)
    , lease(lease)
    , logger(sink, "credits")
    , requests(counters.counter("lovageward_credit_requests_total"))
    , grantedCredits(counters.counter("lovageward_credits_granted_total"))
    , refusals(counters.counter("lovageward_credit_refusals_total"))
    , takeOvers(counters.counter("lovageward_credit_take_overs_total"))
    , options(options)
{
}

std::string CreditOwner::handle(const PeerMessage &message)
{
    if (message.kind == PeerMessageKind::CreditReturn) {
        return this->handleCreditReturn(message);
    }
    return this->handleCreditRequest(message);
}

std::string CreditOwner::handleCreditRequest(const PeerMessage &message)
{
    auto request = decodeCreditRequest(message.payload);
    this->requests.add();
    auto heldUntil = this->lease.heldUntil(request.upstream);
    auto isHeld = this->lease.isHeldNow(request.upstream);
    CreditGrantMessage grant { this->options.credits.lifetime, this->options.retryAfter, {} };
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->ownedUpstreams.find(request.upstream);
    // Without a load report of its own this node doesn't know the running work, so it doesn't try to acquire the lease either.
    if (found != this->ownedUpstreams.end()) {
        auto now = this->clock.now();
        auto &owned = found->second;
        owned.demandUntil = now + this->options.demandRetention;
        if (isHeld) {
            this->updateLease(request.upstream, owned, heldUntil, now);
            grant.credits = owned.ledger.grant(message.sender, request.count, now, heldUntil, this->random);
        }
    }
    if (grant.credits.empty()) {
        this->refusals.add();
    }
    this->grantedCredits.add(static_cast<std::int64_t>(grant.credits.size()));
    return encodeCreditGrant(grant);
}

std::string CreditOwner::handleCreditReturn(const PeerMessage &message)
{
    auto returned = decodeCreditReturn(message.payload);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->ownedUpstreams.find(returned.upstream);
    if (found != this->ownedUpstreams.end()) {
        auto &ledger = found->second.ledger;
        ledger.markStarted(message.sender, returned.started, this->clock.now());
        ledger.markEnded(message.sender, returned.ended);
        ledger.returnUnused(message.sender, returned.unused);
    }
    MessageWriter writer;
    writer.array(0);
    return writer.encoded();
}

TimePoint CreditOwner::step()
{
    auto startedAt = this->clock.now();
    for (const auto &upstream : this->collectDueLeases(startedAt)) {
        auto isHeld = this->lease.tryAcquire(upstream);
        auto heldUntil = this->lease.heldUntil(upstream);
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->ownedUpstreams.find(upstream);
        if (isHeld && found != this->ownedUpstreams.end()) {
            this->updateLease(upstream, found->second, heldUntil, this->clock.now());
        }
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->removeIdleUpstreams(this->clock.now());
    return startedAt + this->options.period;
}

void CreditOwner::updateLease(const UpstreamId &upstream, OwnedUpstream &owned, TimePoint heldUntil, TimePoint now)
{
    if (now > owned.leaseUntil) {
        // The lease has lapsed since it was last checked, so another node may have granted credits.
        owned.ledger.takeOver(now);
        this->takeOvers.add();
        this->logger.info("took over granting credits for {}", upstream.value());
    }
    owned.leaseUntil = std::max(owned.leaseUntil, heldUntil);
}

std::vector<UpstreamId> CreditOwner::collectDueLeases(TimePoint now)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamId> due;
    for (auto &[upstream, owned] : this->ownedUpstreams) {
        auto hasDemand = owned.demandUntil > now && owned.ledger.isKnownCold(now);
        auto isDue = owned.leaseUntil < now + this->options.renewBeforeExpiry && owned.nextLeaseAttempt <= now;
        if (hasDemand && isDue) {
            owned.nextLeaseAttempt = now + this->options.leaseRetryInterval;
            due.push_back(upstream);
        }
    }
    return due;
}

void CreditOwner::removeIdleUpstreams(TimePoint now)
{
    // By then the lease, the credits and the load reports have expired; a new entry starts with a take-over.
    auto retention = this->options.credits.workRetention;
    std::erase_if(this->ownedUpstreams, [now, retention](const auto &item) { return item.second.lastReportAt + retention < now; });
}

void CreditOwner::loadReported(const UpstreamId &upstream, const LoadReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &owned = this->findOrCreateUpstream(upstream);
    owned.lastReportAt = this->clock.now();
    owned.ledger.applyReport(report, this->clock.now());
}

void CreditOwner::upstreamUnreachable(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &owned = this->findOrCreateUpstream(upstream);
    owned.lastReportAt = this->clock.now();
    owned.ledger.markUnreachable(this->clock.now());
}

void CreditOwner::pollingStopped(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->ownedUpstreams.find(upstream);
    if (found != this->ownedUpstreams.end()) {
        found->second.ledger.discardReport();
    }
}

CreditOwner::OwnedUpstream &CreditOwner::findOrCreateUpstream(const UpstreamId &upstream)
{
    auto found = this->ownedUpstreams.find(upstream);
    if (found == this->ownedUpstreams.end()) {
        found = this->ownedUpstreams.emplace(upstream, OwnedUpstream(this->options.credits)).first;
        // The lease of a new entry counts as lapsed, even if this node's clock shows a time near zero.
        found->second.leaseUntil = TimePoint::min();
    }
    return found->second;
}

}
