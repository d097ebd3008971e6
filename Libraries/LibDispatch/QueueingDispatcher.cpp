#include <LibDispatch/QueueingDispatcher.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace Lovageward {

namespace {

/** A check that fails counts as a caller that is gone, because an exception must not leave the waiting request behind. */
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
    if (settings.runsTicker) {
        this->ticker = std::thread([this] { this->runTicker(); });
    }
}

QueueingDispatcher::~QueueingDispatcher()
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        this->isEnding = true;
        this->tickerChanged.notify_one();
    }
    if (this->ticker.joinable()) {
        this->ticker.join();
    }
}

Placement QueueingDispatcher::acquire(const WorkItem &item)
{
    Waiter waiter;
    std::unique_lock<std::mutex> lock(this->mutex);
    auto ticket = this->core.submit(item);
    this->waiters.emplace(ticket, &waiter);
    this->deliver();
    if (!waiter.result) {
        this->wakeTicker();
        this->await(lock, waiter, ticket, item);
    }
    lock.unlock();
    if (auto *error = std::get_if<Error>(&*waiter.result)) {
        throw Error(*error);
    }
    return std::get<Placement>(std::move(*waiter.result));
}

void QueueingDispatcher::reportProgress(PlacementId id, TokenCount produced)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.progress(id, produced);
}

void QueueingDispatcher::release(PlacementId id, PlacementOutcome outcome)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.release(id, outcome);
    this->deliver();
}

void QueueingDispatcher::cancel(const RequestId &request)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.cancel(request);
    this->deliver();
}

TimePoint QueueingDispatcher::account(ByteCount bytes)
{
    return this->link.account(bytes);
}

void QueueingDispatcher::stop()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.stop();
    this->logger.info("Refusing new work; {} requests wait and {} run.", this->core.waiting(), this->core.running());
}

void QueueingDispatcher::setIsolated(bool newIsIsolated)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.setIsolated(newIsIsolated);
    this->deliver();
}

void QueueingDispatcher::tick()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->core.step();
    this->deliver();
}

std::size_t QueueingDispatcher::waiting() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->core.waiting();
}

std::size_t QueueingDispatcher::running() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->core.running();
}

void QueueingDispatcher::await(std::unique_lock<std::mutex> &lock, Waiter &waiter, TicketId ticket, const WorkItem &item)
{
    auto isDecided = [&waiter] { return waiter.result.has_value(); };
    if (!item.isCallerGone) {
        waiter.changed.wait(lock, isDecided);
        return;
    }
    while (!waiter.changed.wait_for(lock, this->callerCheckInterval, isDecided)) {
        lock.unlock();
        auto isGone = isCallerGone(item);
        lock.lock();
        if (isGone) {
            this->core.cancel(ticket);
            this->deliver();
        }
    }
}

void QueueingDispatcher::deliver()
{
    for (auto &decision : this->core.takeDecisions()) {
        auto found = this->waiters.find(decision.ticket);
        if (found == this->waiters.end()) {
            // An exception ended the call of acquire before it waited; nobody else would release the placement.
            if (auto *placement = std::get_if<Placement>(&decision.result)) {
                this->core.release(placement->id, PlacementOutcome::Cancelled);
            }
            continue;
        }
        found->second->result = std::move(decision.result);
        found->second->changed.notify_one();
        this->waiters.erase(found);
    }
}

void QueueingDispatcher::wakeTicker()
{
    if (!this->tickerWakesAt || this->nextTick() < *this->tickerWakesAt) {
        this->tickerWakesAt = this->nextTick();
        this->tickerChanged.notify_one();
    }
}

TimePoint QueueingDispatcher::nextTick() const
{
    auto regular = this->clock.now() + this->tickInterval;
    return std::min(regular, this->core.nextDeadline().value_or(regular));
}

void QueueingDispatcher::runTicker()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isEnding) {
        if (this->core.waiting() == 0) {
            this->tickerWakesAt.reset();
            this->tickerChanged.wait(lock);
            continue;
        }
        this->tickerWakesAt = this->nextTick();
        this->tickerChanged.wait_for(lock, *this->tickerWakesAt - this->clock.now());
        try {
            this->core.step();
            this->deliver();
        } catch (const std::exception &error) {
            this->logger.error("A background pass failed: {}", error.what());
        }
    }
}

}
