#include <LibCore/Error.h>
#include <LibCredits/CreditClient.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** Time between steps while the client has no demand, credits or usage reports. */
constexpr auto idlePeriod = seconds(1);

/** The first credits of a list, at most as many as fit into one message. */
std::vector<CreditId> firstCredits(const std::vector<CreditId> &credits)
{
    auto size = std::min(credits.size(), maximumCreditsPerMessage);
    return { credits.begin(), credits.begin() + static_cast<std::ptrdiff_t>(size) };
}

bool isEmpty(const CreditReturnMessage &message)
{
    return message.started.empty() && message.ended.empty() && message.unused.empty();
}

void removeCredits(std::vector<CreditId> &from, const std::vector<CreditId> &credits)
{
    std::erase_if(from, [&credits](auto id) { return std::find(credits.begin(), credits.end(), id) != credits.end(); });
}

}

CreditClient::CreditClient(const Clock &clock,
                           PeerTransport &transport,
                           ParallelRunner &runner,
                           const UpstreamTable &table,
                           const UpstreamOwnership &ownership,
                           HostId self,
                           LogSink &sink,
                           Counters &counters,
                           std::function<void()> wake,
                           const CreditClientOptions &options)
    : clock(clock)
    , transport(transport)
    , runner(runner)
    , table(table)
    , ownership(ownership)
    , self(std::move(self))
    , logger(sink, "credits")
    , acquiredCredits(counters.counter("lovageward_credits_used_total"))
    , missedCredits(counters.counter("lovageward_credits_missed_total"))
    , failedMessages(counters.counter("lovageward_credit_messages_failed_total"))
    , wake(std::move(wake))
    , options(options)
{
}

bool CreditClient::tryAcquire(const UpstreamId &upstream)
{
    auto now = this->clock.now();
    auto isFirstDemand = false;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto &credits = this->creditsByUpstream[upstream];
        while (!credits.held.empty()) {
            auto credit = credits.held.front();
            credits.held.pop_front();
            auto &report = this->usageReportFor(credits, credit, now).message;
            if (now >= credit.expiresAt) {
                report.unused.push_back(credit.id);
                continue;
            }
            report.started.push_back(credit.id);
            credits.inUse.push_back(std::move(credit));
            this->acquiredCredits.add();
            return true;
        }
        isFirstDemand = credits.demand == 0;
        credits.demand = std::min(credits.demand + 1, this->options.maximumCreditsPerRequest);
    }
    this->missedCredits.add();
    if (isFirstDemand && this->wake) {
        this->wake();
    }
    return false;
}

void CreditClient::release(const UpstreamId &upstream)
{
    auto now = this->clock.now();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->creditsByUpstream.find(upstream);
    if (found == this->creditsByUpstream.end() || found->second.inUse.empty()) {
        return;
    }
    auto &credits = found->second;
    // Credits aren't matched to requests. Whichever request has ended, the oldest credit is reported, so that the owner keeps
    // the younger ones, which it counts for longer.
    auto credit = std::move(credits.inUse.front());
    credits.inUse.pop_front();
    this->usageReportFor(credits, credit, now).message.ended.push_back(credit.id);
}

TimePoint CreditClient::step()
{
    auto startedAt = this->clock.now();
    this->returnCreditsOfRestartedUpstreams();
    auto calls = this->collectDueCalls(startedAt);
    this->runner.runAll(calls.size(), [this, &calls](auto index) { this->performCall(calls[index]); });
    std::lock_guard<std::mutex> guard(this->mutex);
    auto isActive = std::any_of(this->creditsByUpstream.begin(), this->creditsByUpstream.end(), [](const auto &item) {
        const auto &credits = item.second;
        return credits.demand > 0 || !credits.held.empty() || !credits.inUse.empty() || !credits.usageReports.empty();
    });
    return startedAt + (isActive ? this->options.period : Duration(idlePeriod));
}

void CreditClient::returnCreditsOfRestartedUpstreams()
{
    std::vector<UpstreamId> upstreams;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &[upstream, credits] : this->creditsByUpstream) {
            upstreams.push_back(upstream);
        }
    }
    for (const auto &upstream : upstreams) {
        auto state = this->table.find(upstream);
        std::lock_guard<std::mutex> guard(this->mutex);
        auto &credits = this->creditsByUpstream[upstream];
        if (!state) {
            continue;
        }
        if (credits.bootId != state->report.bootId) {
            credits.bootId = state->report.bootId;
            for (const auto &credit : credits.held) {
                this->usageReportFor(credits, credit, this->clock.now()).message.unused.push_back(credit.id);
            }
            credits.held.clear();
        }
    }
}

std::vector<CreditClient::OwnerCall> CreditClient::collectDueCalls(TimePoint now)
{
    std::vector<OwnerCall> calls;
    auto view = this->ownership.current();
    this->addCreditRequests(calls, *view, now);
    std::lock_guard<std::mutex> guard(this->mutex);
    this->addUsageReports(calls, now);
    std::erase_if(this->creditsByUpstream, [now](const auto &item) {
        const auto &credits = item.second;
        auto isWaiting = credits.demand > 0 || credits.hasRequestInFlight || credits.nextRequestAt > now;
        return !isWaiting && credits.held.empty() && credits.inUse.empty() && credits.usageReports.empty();
    });
    return calls;
}

void CreditClient::addCreditRequests(std::vector<OwnerCall> &calls, const OwnershipView &view, TimePoint now)
{
    std::vector<std::pair<UpstreamId, std::uint32_t>> requests;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (auto &[upstream, credits] : this->creditsByUpstream) {
            if (credits.demand > 0 && credits.nextRequestAt <= now) {
                credits.hasRequestInFlight = true;
                requests.emplace_back(upstream, std::exchange(credits.demand, 0));
            }
        }
    }
    for (const auto &[upstream, count] : requests) {
        auto state = this->table.find(upstream);
        if (state) {
            calls.push_back({ upstream, view.ownerOf(upstream, state->region), count, {} });
        } else {
            this->finishRequest(upstream, now);
        }
    }
}

void CreditClient::addUsageReports(std::vector<OwnerCall> &calls, TimePoint now)
{
    for (auto &[upstream, credits] : this->creditsByUpstream) {
        this->returnExpiringCredits(credits, now);
        std::erase_if(credits.usageReports, [now](const auto &item) { return isEmpty(item.second.message) || item.second.dropAt <= now; });
        for (const auto &[host, report] : credits.usageReports) {
            CreditReturnMessage message {
                upstream, firstCredits(report.message.started), firstCredits(report.message.ended), firstCredits(report.message.unused)
            };
            calls.push_back({ upstream, report.owner, 0, std::move(message) });
        }
    }
}

void CreditClient::returnExpiringCredits(UpstreamCredits &credits, TimePoint now)
{
    while (!credits.held.empty() && credits.held.front().expiresAt - this->options.returnBeforeExpiry <= now) {
        this->usageReportFor(credits, credits.held.front(), now).message.unused.push_back(credits.held.front().id);
        credits.held.pop_front();
    }
}

void CreditClient::performCall(const OwnerCall &call)
{
    try {
        if (call.requestedCredits > 0) {
            this->requestCredits(call);
        } else {
            this->sendUsageReport(call);
        }
    } catch (const Error &error) {
        this->failedMessages.add();
        this->logger.debug("credit message to {} for {} failed: {}", call.owner.host.value(), call.upstream.value(), error.what());
        this->finishRequest(call.upstream, this->clock.now() + this->options.requestTimeout);
    }
}

void CreditClient::requestCredits(const OwnerCall &call)
{
    auto sentAt = this->clock.now();
    auto payload = encodeCreditRequest({ call.upstream, call.requestedCredits });
    auto answer
        = this->transport.request(call.owner.peerAddress, { PeerMessageKind::CreditRequest, this->self, payload }, sentAt + this->options.requestTimeout);
    auto grant = decodeCreditGrant(answer);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &credits = this->creditsByUpstream[call.upstream];
    credits.hasRequestInFlight = false;
    for (auto id : grant.credits) {
        credits.held.push_back({ id, sentAt + grant.lifetime, call.owner });
    }
    if (grant.credits.size() < call.requestedCredits) {
        credits.nextRequestAt = this->clock.now() + grant.retryAfter;
    }
}

void CreditClient::sendUsageReport(const OwnerCall &call)
{
    auto deadline = this->clock.now() + this->options.requestTimeout;
    auto payload = encodeCreditReturn(call.report);
    this->transport.request(call.owner.peerAddress, { PeerMessageKind::CreditReturn, this->self, payload }, deadline);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &reports = this->creditsByUpstream[call.upstream].usageReports;
    auto found = reports.find(call.owner.host);
    if (found != reports.end()) {
        removeSentCredits(found->second.message, call.report);
    }
}

void CreditClient::finishRequest(const UpstreamId &upstream, TimePoint nextRequestAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &credits = this->creditsByUpstream[upstream];
    credits.hasRequestInFlight = false;
    credits.nextRequestAt = nextRequestAt;
}

CreditClient::UsageReport &CreditClient::usageReportFor(UpstreamCredits &credits, const HeldCredit &credit, TimePoint now)
{
    auto &report = credits.usageReports[credit.owner.host];
    report.owner = credit.owner;
    report.dropAt = now + this->options.reportRetention;
    return report;
}

void CreditClient::removeSentCredits(CreditReturnMessage &pending, const CreditReturnMessage &sent)
{
    removeCredits(pending.started, sent.started);
    removeCredits(pending.ended, sent.ended);
    removeCredits(pending.unused, sent.unused);
}

}
