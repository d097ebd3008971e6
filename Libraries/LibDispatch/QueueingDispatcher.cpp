#include <LibDispatch/QueueingDispatcher.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace Lovageward {

namespace {

/** Treats a check that throws as a caller that is gone, so that the exception can't leave the waiting request in the queue. */
bool isCallerGone(const WorkItem &item)
{
    try {
        return item.isCallerGone();
    } catch (const std::exception &) {
        return true;
    }
}

}

QueueingDispatcher::QueueingDispatcher(const DispatchSettings &settings,
                                       const Clock &clock,
                                       RandomSource &random,
                                       const Configuration &configuration,
                                       UpstreamTable &table,
                                       UpstreamChooser &chooser,
                                       CreditSource &credits,
                                       LinkBudget &link,
                                       Counters &counters,
                                       LogSink &logSink)
    : tickInterval(settings.tickInterval)
    , callerCheckInterval(settings.callerCheckInterval)
    , clock(clock)
    , link(link)
    , logger(logSink, "dispatch")
    , placer(clock, random, table, chooser, credits, link, counters, this->logger, settings.ownRegion)
    , core(settings, clock, random, configuration, this->placer, counters, this->logger)
{
    if (settings.hasTickerThread) {
        this->ticker = std::thread([this] { this->runTicker(); });
    }
}

QueueingDispatcher::~QueueingDispatcher()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isTickerStopping = true;
        this->tickerWakeUp.notify_one();
    }
    if (this->ticker.joinable()) {
        this->ticker.join();
    }
}

Placement QueueingDispatcher::acquire(const WorkItem &item)
{
    std::vector<Delivery> deliveries;
    std::shared_ptr<Waiter> waiter;
    std::unique_lock<std::mutex> lock(this->mutex);
    auto ticket = this->core.submit(item);
    auto decision = this->collectDecisions(ticket, deliveries);
    if (!decision) {
        waiter = std::make_shared<Waiter>();
        this->waiters.emplace(ticket, waiter);
        this->wakeTicker();
    }
    lock.unlock();
    deliver(deliveries);
    if (decision) {
        return unwrap(std::move(*decision));
    }
    this->awaitDecision(*waiter, ticket, item);
    return unwrap(std::move(*waiter->result));
}

void QueueingDispatcher::reportProgress(PlacementId id, TokenCount produced)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.recordProgress(id, produced);
}

void QueueingDispatcher::release(PlacementId id, PlacementOutcome outcome)
{
    this->applyAndDeliver([&] { this->core.release(id, outcome); });
}

void QueueingDispatcher::cancel(const RequestId &request)
{
    this->applyAndDeliver([&] { this->core.cancel(request); });
}

TimePoint QueueingDispatcher::accountCrossRegionBytes(ByteCount bytes)
{
    return this->link.accountStreamBytes(bytes);
}

void QueueingDispatcher::stopAcceptingWork()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.stopAcceptingWork();
    this->logger.info("Refusing new work; {} requests are waiting and {} are running.", this->core.waitingCount(), this->core.runningCount());
}

void QueueingDispatcher::setIsolated(bool newIsIsolated)
{
    this->applyAndDeliver([&] { this->core.setIsolated(newIsIsolated); });
}

void QueueingDispatcher::tick()
{
    this->applyAndDeliver([&] { this->core.processQueue(); });
}

std::size_t QueueingDispatcher::waitingCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->core.waitingCount();
}

std::size_t QueueingDispatcher::runningCount() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->core.runningCount();
}

std::optional<std::variant<Placement, Error>> QueueingDispatcher::collectDecisions(std::optional<TicketId> own, std::vector<Delivery> &deliveries)
{
    std::optional<std::variant<Placement, Error>> ownResult;
    auto decisions = this->core.takeDecisions();
    while (!decisions.empty()) {
        for (auto &decision : decisions) {
            auto found = this->waiters.find(decision.ticket);
            if (found != this->waiters.end()) {
                deliveries.push_back({ .waiter = std::move(found->second), .result = std::move(decision.result) });
                this->waiters.erase(found);
            } else if (own == decision.ticket) {
                ownResult = std::move(decision.result);
            } else if (auto *placement = std::get_if<Placement>(&decision.result)) {
                // The call of acquire ended with an exception before it waited, so its placement is released here.
                this->core.release(placement->id, PlacementOutcome::Cancelled);
            }
        }
        decisions = this->core.takeDecisions();
    }
    return ownResult;
}

template<typename Action>
void QueueingDispatcher::applyAndDeliver(Action action)
{
    std::vector<Delivery> deliveries;
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        action();
        this->collectDecisions(std::nullopt, deliveries);
    }
    deliver(deliveries);
}

void QueueingDispatcher::deliver(std::vector<Delivery> &deliveries)
{
    for (auto &delivery : deliveries) {
        {
            std::lock_guard<std::mutex> guard(delivery.waiter->mutex);
            delivery.waiter->result = std::move(delivery.result);
        }
        delivery.waiter->resultReady.notify_one();
    }
}

Placement QueueingDispatcher::unwrap(std::variant<Placement, Error> result)
{
    if (auto *error = std::get_if<Error>(&result)) {
        throw Error(*error);
    }
    return std::get<Placement>(std::move(result));
}

void QueueingDispatcher::awaitDecision(Waiter &waiter, TicketId ticket, const WorkItem &item)
{
    auto isDecided = [&waiter] { return waiter.result.has_value(); };
    std::unique_lock<std::mutex> lock(waiter.mutex);
    if (!item.isCallerGone) {
        waiter.resultReady.wait(lock, isDecided);
        return;
    }
    while (!waiter.resultReady.wait_for(lock, this->callerCheckInterval, isDecided)) {
        lock.unlock();
        if (isCallerGone(item)) {
            this->applyAndDeliver([&] { this->core.cancel(ticket); });
        }
        lock.lock();
    }
}

void QueueingDispatcher::wakeTicker()
{
    if (!this->tickerWakesAt || this->nextTickTime() < *this->tickerWakesAt) {
        this->tickerWakesAt = this->nextTickTime();
        this->tickerWakeUp.notify_one();
    }
}

TimePoint QueueingDispatcher::nextTickTime() const
{
    auto regular = this->clock.now() + this->tickInterval;
    return std::min(regular, this->core.nextDeadline().value_or(regular));
}

void QueueingDispatcher::runTicker()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isTickerStopping) {
        if (this->core.waitingCount() == 0) {
            this->tickerWakesAt.reset();
            this->tickerWakeUp.wait(lock);
            continue;
        }
        this->tickerWakesAt = this->nextTickTime();
        this->tickerWakeUp.wait_for(lock, *this->tickerWakesAt - this->clock.now());
        lock.unlock();
        try {
            this->tick();
        } catch (const std::exception &error) {
            this->logger.error("A background pass failed: {}", error.what());
        }
        lock.lock();
    }
}

}
