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
        return this->answerReturn(message);
    }
    return this->answerRequest(message);
}

std::string CreditOwner::answerRequest(const PeerMessage &message)
{
    auto request = decodeCreditRequest(message.payload);
    this->requests.add();
    auto heldUntil = this->lease.heldUntil(request.upstream);
    auto isHeld = this->lease.isHeldNow(request.upstream);
    CreditGrantMessage grant { this->options.credits.lifetime, this->options.retryAfter, {} };
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->accounts.find(request.upstream);
    // Without a report of its own this node can't know the running work, so it doesn't ask for the lease either.
    if (found != this->accounts.end()) {
        auto now = this->clock.now();
        auto &account = found->second;
        account.demandUntil = now + this->options.demandRetention;
        if (isHeld) {
            this->observeLease(request.upstream, account, heldUntil, now);
            grant.credits = account.ledger.grant(message.sender, request.count, now, heldUntil, this->random);
        }
    }
    if (grant.credits.empty()) {
        this->refusals.add();
    }
    this->grantedCredits.add(static_cast<std::int64_t>(grant.credits.size()));
    return encodeCreditGrant(grant);
}

std::string CreditOwner::answerReturn(const PeerMessage &message)
{
    auto returned = decodeCreditReturn(message.payload);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->accounts.find(returned.upstream);
    if (found != this->accounts.end()) {
        auto &ledger = found->second.ledger;
        ledger.started(message.sender, returned.started, this->clock.now());
        ledger.ended(message.sender, returned.ended);
        ledger.returned(message.sender, returned.unused);
    }
    MessageWriter writer;
    writer.array(0);
    return writer.encoded();
}

TimePoint CreditOwner::step()
{
    auto startedAt = this->clock.now();
    for (const auto &upstream : this->leasesDue(startedAt)) {
        auto isHeld = this->lease.tryAcquire(upstream);
        auto heldUntil = this->lease.heldUntil(upstream);
        std::lock_guard<std::mutex> guard(this->mutex);
        auto found = this->accounts.find(upstream);
        if (isHeld && found != this->accounts.end()) {
            this->observeLease(upstream, found->second, heldUntil, this->clock.now());
        }
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->forgetIdle(this->clock.now());
    return startedAt + this->options.period;
}

void CreditOwner::observeLease(const UpstreamId &upstream, Account &account, TimePoint heldUntil, TimePoint now)
{
    if (now > account.leaseUntil) {
        // The lease has lapsed since it was last seen, so another node may have granted credits.
        account.ledger.takeOver(now);
        this->takeOvers.add();
        this->logger.info("took over the credits of {}", upstream.value());
    }
    account.leaseUntil = std::max(account.leaseUntil, heldUntil);
}

std::vector<UpstreamId> CreditOwner::leasesDue(TimePoint now)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamId> due;
    for (auto &[upstream, account] : this->accounts) {
        auto isWanted = account.demandUntil > now && account.ledger.isKnownCold(now);
        auto isDue = account.leaseUntil < now + this->options.renewBefore && account.nextLeaseAttempt <= now;
        if (isWanted && isDue) {
            account.nextLeaseAttempt = now + this->options.leaseRetry;
            due.push_back(upstream);
        }
    }
    return due;
}

void CreditOwner::forgetIdle(TimePoint now)
{
    // A ledger may go once its lease, its credits and its reports are long past; a later one starts with a take-over.
    auto retention = this->options.credits.workRetention;
    std::erase_if(this->accounts, [now, retention](const auto &item) { return item.second.lastReportAt + retention < now; });
}

void CreditOwner::reported(const UpstreamId &upstream, const LoadReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &account = this->accountOf(upstream);
    account.lastReportAt = this->clock.now();
    account.ledger.applyReport(report, this->clock.now());
}

void CreditOwner::unreachable(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &account = this->accountOf(upstream);
    account.lastReportAt = this->clock.now();
    account.ledger.markUnreachable(this->clock.now());
}

void CreditOwner::abandoned(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->accounts.find(upstream);
    if (found != this->accounts.end()) {
        found->second.ledger.abandon();
    }
}

CreditOwner::Account &CreditOwner::accountOf(const UpstreamId &upstream)
{
    auto found = this->accounts.find(upstream);
    if (found == this->accounts.end()) {
        found = this->accounts.emplace(upstream, Account(this->options.credits)).first;
        // A fresh account must look like a lapsed lease, however early on this node's clock.
        found->second.leaseUntil = TimePoint::min();
    }
    return found->second;
}

}
