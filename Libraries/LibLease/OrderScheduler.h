#pragma once

#include <LibConfig/Entities.h>
#include <LibCore/Backoff.h>
#include <LibCore/Counters.h>
#include <LibCore/Error.h>
#include <LibCore/Logger.h>
#include <LibCore/TokenBucket.h>
#include <LibLease/LeaseHolder.h>
#include <LibLease/OrderSender.h>
#include <LibLease/PoolView.h>
#include <LibLease/WeightStore.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Lovageward {

struct OrderSettings
{
    LeaseSettings lease;
    /** Bytes per second and burst that the weight store allows for all engines together. */
    double weightBytesPerSecond = 1e9;
    double weightBurstBytes = 40e9;
    /** Time for one attempt; no attempt sends later. */
    Duration orderTimeout = seconds(10);
    /** Longest time for which the network may hold an order back. */
    Duration deliveryDelay = seconds(30);
    /** An engine that isn't warm by then has failed the order. */
    Duration loadTimeout = minutes(15);
    /** A report counts as a report about the loaded engine if it was measured this long after the acknowledgement. */
    Duration reportLag = seconds(5);
    unsigned maximumAttempts = 8;
    std::size_t maximumOrders = 64;
    std::size_t maximumEnginesPerOrder = 4096;
};

/**
 * Sends the orders of this node to the engines of their pools, under the lease `orders/<pool>`; orders that load weights
 * also need the lease `weights`, whose holder has the weight store's rate. Leases are acquired while orders wait and given
 * back afterwards, so orders submitted on several nodes take turns. step() and shutDown() are called by one thread; the
 * other functions are safe from any thread. The mutex isn't held while the log or an engine is called.
 */
class OrderScheduler
{
public:
    OrderScheduler(LeaseLog &leaseLog,
                   const WeightStore &weightStore,
                   OrderSender &sender,
                   const PoolView &poolView,
                   const Clock &clock,
                   RandomSource &random,
                   const Logger &logger,
                   Counters &counters,
                   const LeaseOwner &self,
                   const OrderSettings &settings);

    /**
     * Adds an order for all engines of the pool that aren't leaving. Submitting an order id again has no effect.
     * Throws Error(QueueFull) if too many orders are unfinished and Error(InvalidValue) if the pool has no engine or too many.
     */
    void submit(const Order &order, const Pool &pool);

    /** Progress of an order, also for a while after it has finished. */
    std::optional<OrderStatus> progress(const OrderId &order) const;

    /** All remembered orders, oldest first. */
    std::vector<OrderStatus> all() const;

    /** Sends what may be sent now. Call it about once a second. Blocks for one order timeout at most per engine. */
    void step();

    /** Gives the leases back; for a graceful shutdown. */
    void shutDown(TimePoint deadline);

private:
    struct Target
    {
        OrderProgress progress;
        TimePoint nextAttemptAt;
        TimePoint lastSentAt;
        /** True once an attempt may have reached the engine; it then counts as not warm until a report from quietAt or later. */
        bool mayBeLoading = false;
        TimePoint quietAt;
        /** Time until which an attempt without an answer may still arrive. */
        TimePoint unsettledUntil;
    };

    struct ActiveOrder
    {
        Order order;
        Pool pool;
        std::vector<Target> targets;
    };

    struct Attempt
    {
        OrderId order;
        Pool pool;
        std::size_t target = 0;
        EngineOrder engineOrder;
        bool mayBeLoadingBefore = false;
        TimePoint unsettledBefore;
    };

    static bool loadsWeights(OrderKind kind);
    static bool isFinished(const ActiveOrder &order);
    bool isSettled(const ActiveOrder &order) const;
    std::vector<PoolId> waitingPools() const;
    void stepPool(const PoolId &pool);
    void updateLoading(const PoolId &pool, const std::vector<PoolEngine> &engines);
    std::optional<Attempt> nextAttempt(const PoolId &pool, const std::vector<PoolEngine> &engines);
    bool mayStart(const ActiveOrder &active, Target &target, const std::vector<PoolEngine> &engines) const;
    bool isLoading(const UpstreamId &upstream) const;
    ActiveOrder *activeOrder(const PoolId &pool);
    Target &targetOf(const Attempt &attempt);
    /** Empty if the attempt may be sent now, otherwise the reason why not. */
    std::string obstacle(const Attempt &attempt, LeaseHolder &lease);
    bool holdsWeights();
    bool takeWeights(const EngineOrder &order);
    void sendNow(Attempt &attempt, LeaseHolder &lease);
    void noteOutcome(const Attempt &attempt, const Error *error);
    LeaseHolder &poolLease(const PoolId &pool);
    void releaseIdle(TimePoint deadline);

    LeaseLog &leaseLog;
    const WeightStore &weightStore;
    OrderSender &sender;
    const PoolView &poolView;
    const Clock &clock;
    RandomSource &random;
    Logger logger;
    LeaseOwner self;
    OrderSettings settings;
    Backoff backoff;
    TokenBucket weights;
    Counter &sentOrders;
    Counter &failedAttempts;
    Counter &finishedEngines;
    LeaseHolder weightsLease;
    /** True while the lease `weights` has been held without a break, so that the bucket's level can be trusted. */
    bool heldWeights = false;
    mutable std::mutex mutex;
    std::map<PoolId, std::unique_ptr<LeaseHolder>> poolLeases;
    std::deque<ActiveOrder> orders;
};

}
