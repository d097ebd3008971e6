#pragma once

#include <LibDispatch/DispatchCore.h>
#include <LibDispatch/Dispatcher.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Lovageward {

/**
 * The node's dispatcher. Each request thread waits in `acquire` on its own condition variable, so that a decision wakes only the
 * thread that it concerns. One background thread runs passes while requests wait.
 * Decisions are delivered after the mutex is released, so that a woken thread doesn't immediately block on it.
 *
 * Lock order: the mutex of this class is taken first, then those of the upstream table, credits, configuration, link budget and
 * counters. The chooser is called with the mutex held and needs no lock of its own. No I/O happens with the mutex held.
 * The mutex of a waiter is taken with no other lock held.
 */
class QueueingDispatcher final : public Dispatcher
{
public:
    QueueingDispatcher(const DispatchSettings &settings,
                       const Clock &clock,
                       RandomSource &random,
                       const Configuration &configuration,
                       UpstreamTable &table,
                       UpstreamChooser &chooser,
                       CreditSource &credits,
                       LinkBudget &link,
                       Counters &counters,
                       LogSink &logSink);

    /** Must not be called while a call of `acquire` is running. */
    ~QueueingDispatcher() override;

    QueueingDispatcher(const QueueingDispatcher &) = delete;
    QueueingDispatcher &operator=(const QueueingDispatcher &) = delete;

    Placement acquire(const WorkItem &item) override;
    void reportProgress(PlacementId id, TokenCount produced) override;
    void release(PlacementId id, PlacementOutcome outcome) override;
    void cancel(const RequestId &request) override;
    TimePoint accountCrossRegionBytes(ByteCount bytes) override;

    /** Refuses new work with ShuttingDown from now on. Waiting requests are still placed and running ones continue. */
    void stopAcceptingWork();

    /** While isolated, refuses new and waiting requests with NodeIsolated. Running ones continue. */
    void setIsolated(bool newIsIsolated);

    /** Runs one background pass. Called by the background thread, or by the owner if the settings disable that thread. */
    void tick();

    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    /** Shared by the waiting and the delivering thread, so that the delivery may outlast the wait. */
    struct Waiter
    {
        std::mutex mutex;
        std::condition_variable resultReady;
        std::optional<std::variant<Placement, Error>> result;
    };

    struct Delivery
    {
        std::shared_ptr<Waiter> waiter;
        std::variant<Placement, Error> result;
    };

    /** Returns the decision on `own`, which has no waiter yet, if there is one. Decisions on other tickets are appended to `deliveries`. */
    std::optional<std::variant<Placement, Error>> collectDecisions(std::optional<TicketId> own, std::vector<Delivery> &deliveries);
    /** Runs an action on the core with the mutex held and delivers the resulting decisions after releasing it. */
    template<typename Action>
    void applyAndDeliver(Action action);
    static void deliver(std::vector<Delivery> &deliveries);
    static Placement unwrap(std::variant<Placement, Error> result);
    /** Waits for the decision. Withdraws the request if its caller is gone. */
    void awaitDecision(Waiter &waiter, TicketId ticket, const WorkItem &item);
    void wakeTicker();
    TimePoint nextTickTime() const;
    void runTicker();

    Duration tickInterval;
    Duration callerCheckInterval;
    const Clock &clock;
    LinkBudget &link;
    Logger logger;
    mutable std::mutex mutex;
    Placer placer;
    DispatchCore core;
    std::unordered_map<TicketId, std::shared_ptr<Waiter>> waiters;
    std::condition_variable tickerWakeUp;
    /** Time at which the ticker runs next; empty while it sleeps because no request waits. */
    std::optional<TimePoint> tickerWakesAt;
    bool isTickerStopping = false;
    std::thread ticker;
};

}
