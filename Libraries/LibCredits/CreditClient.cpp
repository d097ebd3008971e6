#include <LibCore/Error.h>
#include <LibCredits/CreditClient.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

constexpr auto idlePeriod = seconds(1);

/** The first credits of a list, as many as one message takes. */
std::vector<CreditId> headOf(const std::vector<CreditId> &credits)
{
    auto size = std::min(credits.size(), maximumCreditsPerMessage);
    return { credits.begin(), credits.begin() + static_cast<std::ptrdiff_t>(size) };
}

bool isEmpty(const CreditReturnMessage &message)
{
    return message.started.empty() && message.ended.empty() && message.unused.empty();
}

void removeAll(std::vector<CreditId> &from, const std::vector<CreditId> &credits)
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
    , acquired(counters.counter("lovageward_credits_used_total"))
    , missed(counters.counter("lovageward_credits_missed_total"))
    , failures(counters.counter("lovageward_credit_messages_failed_total"))
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
        auto &account = this->accounts[upstream];
        while (!account.held.empty()) {
            auto credit = account.held.front();
            account.held.pop_front();
            auto &report = this->reportFor(account, credit, now).message;
            if (now >= credit.expiresAt) {
                report.unused.push_back(credit.id);
                continue;
            }
            report.started.push_back(credit.id);
            account.inUse.push_back(std::move(credit));
            this->acquired.add();
            return true;
        }
        isFirstDemand = account.demand == 0;
        account.demand = std::min(account.demand + 1, this->options.maximumPerRequest);
    }
    this->missed.add();
    if (isFirstDemand && this->wake) {
        this->wake();
    }
    return false;
}

void CreditClient::release(const UpstreamId &upstream)
{
    auto now = this->clock.now();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->accounts.find(upstream);
    if (found == this->accounts.end() || found->second.inUse.empty()) {
        return;
    }
    auto &account = found->second;
    // The oldest credit stands for whichever work has ended: the owner then keeps the younger ones, which block longer.
    auto credit = std::move(account.inUse.front());
    account.inUse.pop_front();
    this->reportFor(account, credit, now).message.ended.push_back(credit.id);
}

TimePoint CreditClient::step()
{
    auto startedAt = this->clock.now();
    this->refreshBootIds();
    auto tasks = this->dueTasks(startedAt);
    this->runner.runAll(tasks.size(), [this, &tasks](auto index) { this->run(tasks[index]); });
    std::lock_guard<std::mutex> guard(this->mutex);
    auto isActive = std::any_of(this->accounts.begin(), this->accounts.end(), [](const auto &item) {
        const auto &account = item.second;
        return account.demand > 0 || !account.held.empty() || !account.inUse.empty() || !account.reports.empty();
    });
    return startedAt + (isActive ? this->options.period : Duration(idlePeriod));
}

void CreditClient::refreshBootIds()
{
    std::vector<UpstreamId> upstreams;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &[upstream, account] : this->accounts) {
            upstreams.push_back(upstream);
        }
    }
    for (const auto &upstream : upstreams) {
        auto state = this->table.find(upstream);
        std::lock_guard<std::mutex> guard(this->mutex);
        auto &account = this->accounts[upstream];
        if (!state) {
            continue;
        }
        if (account.bootId != state->report.bootId) {
            account.bootId = state->report.bootId;
            for (const auto &credit : account.held) {
                this->reportFor(account, credit, this->clock.now()).message.unused.push_back(credit.id);
            }
            account.held.clear();
        }
    }
}

std::vector<CreditClient::Task> CreditClient::dueTasks(TimePoint now)
{
    std::vector<Task> tasks;
    auto view = this->ownership.current();
    this->addRequests(tasks, *view, now);
    std::lock_guard<std::mutex> guard(this->mutex);
    this->addReports(tasks, now);
    std::erase_if(this->accounts, [now](const auto &item) {
        const auto &account = item.second;
        auto isWaiting = account.demand > 0 || account.isRequesting || account.nextRequestAt > now;
        return !isWaiting && account.held.empty() && account.inUse.empty() && account.reports.empty();
    });
    return tasks;
}

void CreditClient::addRequests(std::vector<Task> &tasks, const OwnershipView &view, TimePoint now)
{
    std::vector<std::pair<UpstreamId, std::uint32_t>> wanted;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (auto &[upstream, account] : this->accounts) {
            if (account.demand > 0 && account.nextRequestAt <= now) {
                account.isRequesting = true;
                wanted.emplace_back(upstream, std::exchange(account.demand, 0));
            }
        }
    }
    for (const auto &[upstream, count] : wanted) {
        auto state = this->table.find(upstream);
        if (state) {
            tasks.push_back({ upstream, view.ownerOf(upstream, state->region), count, {} });
        } else {
            this->requestEnded(upstream, now);
        }
    }
}

void CreditClient::addReports(std::vector<Task> &tasks, TimePoint now)
{
    for (auto &[upstream, account] : this->accounts) {
        this->returnIdle(account, now);
        std::erase_if(account.reports, [now](const auto &item) { return isEmpty(item.second.message) || item.second.dropAt <= now; });
        for (const auto &[host, report] : account.reports) {
            CreditReturnMessage message { upstream, headOf(report.message.started), headOf(report.message.ended), headOf(report.message.unused) };
            tasks.push_back({ upstream, report.owner, 0, std::move(message) });
        }
    }
}

void CreditClient::returnIdle(Account &account, TimePoint now)
{
    while (!account.held.empty() && account.held.front().expiresAt - this->options.returnBefore <= now) {
        this->reportFor(account, account.held.front(), now).message.unused.push_back(account.held.front().id);
        account.held.pop_front();
    }
}

void CreditClient::run(const Task &task)
{
    try {
        if (task.count > 0) {
            this->requestCredits(task);
        } else {
            this->sendReport(task);
        }
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("no answer from {} about {}: {}", task.owner.host.value(), task.upstream.value(), error.what());
        this->requestEnded(task.upstream, this->clock.now() + this->options.requestTimeout);
    }
}

void CreditClient::requestCredits(const Task &task)
{
    auto sentAt = this->clock.now();
    auto payload = encodeCreditRequest({ task.upstream, task.count });
    auto answer
        = this->transport.request(task.owner.peerAddress, { PeerMessageKind::CreditRequest, this->self, payload }, sentAt + this->options.requestTimeout);
    auto grant = decodeCreditGrant(answer);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &account = this->accounts[task.upstream];
    account.isRequesting = false;
    for (auto id : grant.credits) {
        account.held.push_back({ id, sentAt + grant.lifetime, task.owner });
    }
    if (grant.credits.size() < task.count) {
        account.nextRequestAt = this->clock.now() + grant.retryAfter;
    }
}

void CreditClient::sendReport(const Task &task)
{
    auto deadline = this->clock.now() + this->options.requestTimeout;
    auto payload = encodeCreditReturn(task.report);
    this->transport.request(task.owner.peerAddress, { PeerMessageKind::CreditReturn, this->self, payload }, deadline);
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &reports = this->accounts[task.upstream].reports;
    auto found = reports.find(task.owner.host);
    if (found != reports.end()) {
        removeReported(found->second.message, task.report);
    }
}

void CreditClient::requestEnded(const UpstreamId &upstream, TimePoint nextRequestAt)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &account = this->accounts[upstream];
    account.isRequesting = false;
    account.nextRequestAt = nextRequestAt;
}

CreditClient::Report &CreditClient::reportFor(Account &account, const Held &credit, TimePoint now)
{
    auto &report = account.reports[credit.owner.host];
    report.owner = credit.owner;
    report.dropAt = now + this->options.reportRetention;
    return report;
}

void CreditClient::removeReported(CreditReturnMessage &pending, const CreditReturnMessage &sent)
{
    removeAll(pending.started, sent.started);
    removeAll(pending.ended, sent.ended);
    removeAll(pending.unused, sent.unused);
}

}
