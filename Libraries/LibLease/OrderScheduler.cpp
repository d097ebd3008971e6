#include <LibLease/OrderScheduler.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration logTimeout = seconds(2);
constexpr Duration retryBase = seconds(1);
constexpr Duration retryCap = seconds(60);

bool isMissing(const std::vector<PoolEngine> &engines, const UpstreamId &upstream)
{
    return std::none_of(engines.begin(), engines.end(), [&](const PoolEngine &engine) { return engine.upstream == upstream && !engine.isLeaving; });
}

}

OrderScheduler::OrderScheduler(LeaseLog &leaseLog,
                               const WeightStore &weightStore,
                               OrderSender &sender,
                               const PoolView &poolView,
                               const Clock &clock,
                               RandomSource &random,
                               const Logger &logger,
                               Counters &counters,
                               const LeaseOwner &self,
                               const OrderSettings &settings)
    : leaseLog(leaseLog)
    , weightStore(weightStore)
    , sender(sender)
    , poolView(poolView)
    , clock(clock)
    , random(random)
    , logger(logger)
    , self(self)
    , settings(settings)
    , backoff(random, retryBase, retryCap)
    , weights(clock, settings.weightBytesPerSecond, settings.weightBurstBytes)
    , sentOrders(counters.counter("lovageward_orders_sent_total"))
    , failedAttempts(counters.counter("lovageward_order_failed_attempts_total"))
    , finishedEngines(counters.counter("lovageward_order_finished_engines_total"))
    , weightsLease(leaseLog, clock, random, LeaseName("weights"), self, settings.lease)
{
}

void OrderScheduler::submit(const Order &order, const Pool &pool)
{
    auto engines = this->poolView.enginesOf(order.pool);
    std::erase_if(engines, [](const PoolEngine &engine) { return engine.isLeaving; });
    if (engines.empty() || engines.size() > this->settings.maximumEnginesPerOrder) {
        throw Error(ResultCode::InvalidValue, RunState::NotRun, fmt::format("pool '{}' has {} engines", order.pool.value(), engines.size()));
    }
    ActiveOrder active { order, pool, {} };
    for (const auto &engine : engines) {
        Target target;
        target.progress.upstream = engine.upstream;
        active.targets.push_back(target);
    }

    std::lock_guard<std::mutex> guard(this->mutex);
    auto isSame = [&](const ActiveOrder &other) { return other.order.id == order.id; };
    if (std::any_of(this->orders.begin(), this->orders.end(), isSame)) {
        return;
    }
    if (this->orders.size() >= this->settings.maximumOrders) {
        auto isForgettable = [this](const ActiveOrder &other) { return isFinished(other) && this->isSettled(other); };
        auto finished = std::find_if(this->orders.begin(), this->orders.end(), isForgettable);
        if (finished == this->orders.end()) {
            throw Error(ResultCode::QueueFull, RunState::NotRun, "too many orders are unfinished", seconds(60));
        }
        this->orders.erase(finished);
    }
    this->orders.push_back(std::move(active));
}

std::optional<OrderStatus> OrderScheduler::progress(const OrderId &order) const
{
    for (auto &status : this->all()) {
        if (status.order.id == order) {
            return status;
        }
    }
    return std::nullopt;
}

std::vector<OrderStatus> OrderScheduler::all() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<OrderStatus> result;
    for (const auto &active : this->orders) {
        OrderStatus status { active.order, {}, isFinished(active) };
        for (const auto &target : active.targets) {
            status.engines.push_back(target.progress);
        }
        result.push_back(std::move(status));
    }
    return result;
}

void OrderScheduler::step()
{
    for (const auto &pool : this->waitingPools()) {
        this->stepPool(pool);
    }
    this->releaseIdle(this->clock.now() + logTimeout);
}

void OrderScheduler::shutDown(TimePoint deadline)
{
    for (auto &[pool, lease] : this->poolLeases) {
        lease->release(deadline);
    }
    this->poolLeases.clear();
    this->weightsLease.release(deadline);
    this->heldWeights = false;
}

bool OrderScheduler::loadsWeights(OrderKind kind)
{
    return kind != OrderKind::ChangeRole;
}

bool OrderScheduler::isFinished(const ActiveOrder &order)
{
    return std::all_of(order.targets.begin(), order.targets.end(), [](const Target &target) {
        return target.progress.state == OrderState::Done || target.progress.state == OrderState::Failed;
    });
}

bool OrderScheduler::isSettled(const ActiveOrder &order) const
{
    auto now = this->clock.now();
    return std::all_of(order.targets.begin(), order.targets.end(), [now](const Target &target) { return now >= target.unsettledUntil; });
}

std::vector<PoolId> OrderScheduler::waitingPools() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<PoolId> pools;
    for (const auto &active : this->orders) {
        if (!isFinished(active) && std::find(pools.begin(), pools.end(), active.order.pool) == pools.end()) {
            pools.push_back(active.order.pool);
        }
    }
    return pools;
}

void OrderScheduler::stepPool(const PoolId &pool)
{
    auto &lease = this->poolLease(pool);
    auto engines = this->poolView.enginesOf(pool);
    this->updateLoading(pool, engines);
    // Each round sends to one engine or ends the loop, and an engine that was sent an order isn't due again at once.
    while (auto attempt = this->nextAttempt(pool, engines)) {
        auto reason = this->obstacle(*attempt, lease);
        if (!reason.empty()) {
            std::lock_guard<std::mutex> guard(this->mutex);
            this->targetOf(*attempt).progress.reason = reason;
            return;
        }
        this->sendNow(*attempt, lease);
    }
}

void OrderScheduler::updateLoading(const PoolId &pool, const std::vector<PoolEngine> &engines)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    for (auto &active : this->orders) {
        if (active.order.pool != pool) {
            continue;
        }
        for (auto &target : active.targets) {
            auto engine = std::find_if(engines.begin(), engines.end(), [&](const PoolEngine &other) { return other.upstream == target.progress.upstream; });
            auto isBack = engine != engines.end() && engine->isWarm && engine->measuredAt >= target.quietAt;
            if (target.mayBeLoading && isBack) {
                target.mayBeLoading = false;
                if (target.progress.state == OrderState::Loading) {
                    target.progress.state = OrderState::Done;
                    this->finishedEngines.add();
                }
            }
            if (target.progress.state == OrderState::Loading && now >= target.lastSentAt + this->settings.loadTimeout) {
                target.progress.state = OrderState::Failed;
                target.progress.reason = "the engine did not become warm in time";
            }
            if (target.progress.state == OrderState::Waiting && isMissing(engines, target.progress.upstream)) {
                target.progress.state = OrderState::Failed;
                target.progress.reason = "the engine has left the pool";
            }
        }
    }
}

std::optional<OrderScheduler::Attempt> OrderScheduler::nextAttempt(const PoolId &pool, const std::vector<PoolEngine> &engines)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto *active = this->activeOrder(pool);
    if (active == nullptr) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < active->targets.size(); ++index) {
        auto &target = active->targets[index];
        if (target.progress.state != OrderState::Waiting || this->clock.now() < target.nextAttemptAt || !this->mayStart(*active, target, engines)) {
            continue;
        }
        const auto &order = active->order;
        auto id = order.id.value() + "/" + target.progress.upstream.value();
        EngineOrder engineOrder { id, target.progress.upstream, order.kind, order.model, order.detail, FencingNumber() };
        return Attempt { order.id, active->pool, index, engineOrder, target.mayBeLoading, target.unsettledUntil };
    }
    return std::nullopt;
}

bool OrderScheduler::mayStart(const ActiveOrder &active, Target &target, const std::vector<PoolEngine> &engines) const
{
    if (target.mayBeLoading) {
        return true;
    }
    std::size_t total = 0;
    std::size_t warm = 0;
    std::size_t loading = 0;
    bool isTargetWarm = false;
    for (const auto &engine : engines) {
        if (engine.isLeaving) {
            continue;
        }
        ++total;
        if (this->isLoading(engine.upstream)) {
            // A report from before the order may still call the engine warm.
            ++loading;
        } else if (engine.isWarm) {
            ++warm;
            isTargetWarm = isTargetWarm || engine.upstream == target.progress.upstream;
        }
    }
    constexpr std::size_t wholePercent = 100;
    auto minimum = (total * active.pool.minimumWarmPercent + wholePercent - 1) / wholePercent;
    // An engine that its last report calls cold may have become warm since, so it is loaded beside others only while the
    // loads alone leave the minimum. One load is always possible on a cold engine, or a cold pool could never be loaded.
    auto spare = std::max<std::size_t>(total - std::min(total, minimum), 1);
    auto isAllowed = isTargetWarm ? warm > minimum : warm >= minimum || loading < spare;
    if (!isAllowed) {
        target.progress.reason = fmt::format("{} of {} engines are warm, at least {} must stay so", warm, total, minimum);
    }
    return isAllowed;
}

bool OrderScheduler::isLoading(const UpstreamId &upstream) const
{
    for (const auto &active : this->orders) {
        for (const auto &target : active.targets) {
            if (target.mayBeLoading && target.progress.upstream == upstream) {
                return true;
            }
        }
    }
    return false;
}

OrderScheduler::ActiveOrder *OrderScheduler::activeOrder(const PoolId &pool)
{
    // Orders of one pool run one after the other, and a delayed attempt of one must not undo the next.
    bool isClear = true;
    for (auto &active : this->orders) {
        if (active.order.pool != pool) {
            continue;
        }
        if (!isFinished(active)) {
            return isClear ? &active : nullptr;
        }
        isClear = isClear && this->isSettled(active);
    }
    return nullptr;
}

OrderScheduler::Target &OrderScheduler::targetOf(const Attempt &attempt)
{
    // Only finished orders are removed, so the order of an attempt is still present.
    auto isSame = [&](const ActiveOrder &active) { return active.order.id == attempt.order; };
    return std::find_if(this->orders.begin(), this->orders.end(), isSame)->targets[attempt.target];
}

std::string OrderScheduler::obstacle(const Attempt &attempt, LeaseHolder &lease)
{
    if (!lease.acquire(this->clock.now() + logTimeout)) {
        auto owner = lease.currentOwner();
        return owner ? fmt::format("node '{}' holds the lease of the pool", owner->host.value()) : std::string("the lease of the pool can't be acquired");
    }
    auto held = lease.held();
    if (!held) {
        return "the lease of the pool has run out";
    }
    // An engine that honours fencing refuses a late order itself, but the reports must show what the predecessor has started.
    auto isFenced = attempt.pool.fencing == FencingSupport::Honours;
    auto settled = this->settings.orderTimeout + (isFenced ? this->settings.reportLag : this->settings.deliveryDelay);
    if (held->predecessorEndedBy && this->clock.now() < *held->predecessorEndedBy + settled) {
        return "orders of the previous lease holder may still arrive";
    }
    if (!loadsWeights(attempt.engineOrder.kind)) {
        return {};
    }
    if (!this->holdsWeights()) {
        return "another node holds the lease of the weight store, or it can't be acquired";
    }
    // A repetition makes no engine load twice.
    if (!attempt.mayBeLoadingBefore && !this->takeWeights(attempt.engineOrder)) {
        return "the rate of the weight store is used up";
    }
    return {};
}

bool OrderScheduler::holdsWeights()
{
    auto wasHeld = this->heldWeights && this->weightsLease.isHeldNow();
    this->heldWeights = this->weightsLease.acquire(this->clock.now() + logTimeout);
    if (this->heldWeights && !wasHeld) {
        // Another holder may have used the store's burst up to now.
        this->weights.take(this->settings.weightBurstBytes);
    }
    return this->heldWeights;
}

bool OrderScheduler::takeWeights(const EngineOrder &order)
{
    auto bytes = static_cast<double>(this->weightStore.sizeOf(order.model, order.detail).value());
    // A model larger than the burst may start with a full bucket and leaves a debt.
    if (this->weights.availableAt(std::min(bytes, this->settings.weightBurstBytes)) > this->clock.now()) {
        return false;
    }
    this->weights.take(bytes);
    return true;
}

void OrderScheduler::sendNow(Attempt &attempt, LeaseHolder &lease)
{
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        auto &target = this->targetOf(attempt);
        target.mayBeLoading = true;
        target.lastSentAt = this->clock.now();
        target.unsettledUntil = target.lastSentAt + this->settings.orderTimeout + this->settings.deliveryDelay;
        target.quietAt = target.unsettledUntil + this->settings.reportLag;
        ++target.progress.attempts;
    }
    try {
        auto held = lease.held();
        if (!held) {
            throw Error(ResultCode::LeaseNotHeld, RunState::NotRun, "the lease of the pool has run out");
        }
        attempt.engineOrder.fencingNumber = held->fencingNumber;
        this->sender.send(attempt.engineOrder, std::min(this->clock.now() + this->settings.orderTimeout, held->validUntil));
        this->sentOrders.add();
        this->noteOutcome(attempt, nullptr);
    } catch (const Error &error) {
        this->failedAttempts.add();
        this->noteOutcome(attempt, &error);
    }
}

void OrderScheduler::noteOutcome(const Attempt &attempt, const Error *error)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &target = this->targetOf(attempt);
    auto mayStillArrive = error != nullptr && error->runState() != RunState::NotRun;
    if (!mayStillArrive) {
        target.unsettledUntil = attempt.unsettledBefore;
    }
    if (error == nullptr) {
        target.progress.state = OrderState::Loading;
        target.quietAt = this->clock.now() + this->settings.reportLag;
        target.progress.reason.clear();
        return;
    }
    if (error->runState() == RunState::NotRun) {
        target.mayBeLoading = attempt.mayBeLoadingBefore;
        target.quietAt = attempt.unsettledBefore + this->settings.reportLag;
    }
    target.progress.reason = error->what();
    target.nextAttemptAt = this->clock.now() + retryBase + this->backoff.delay(target.progress.attempts);
    if (target.progress.attempts >= this->settings.maximumAttempts) {
        target.progress.state = OrderState::Failed;
        this->logger.warning("order {} failed on {}: {}.", attempt.order.value(), target.progress.upstream.value(), error->what());
    }
}

LeaseHolder &OrderScheduler::poolLease(const PoolId &pool)
{
    auto &lease = this->poolLeases[pool];
    if (!lease) {
        LeaseName name("orders/" + pool.value());
        lease = std::make_unique<LeaseHolder>(this->leaseLog, this->clock, this->random, name, this->self, this->settings.lease);
    }
    return *lease;
}

void OrderScheduler::releaseIdle(TimePoint deadline)
{
    auto busy = this->waitingPools();
    std::erase_if(this->poolLeases, [&](auto &item) {
        if (std::find(busy.begin(), busy.end(), item.first) != busy.end()) {
            return false;
        }
        item.second->release(deadline);
        return true;
    });
    if (busy.empty() && this->heldWeights) {
        this->weightsLease.release(deadline);
        this->heldWeights = false;
    }
}

}
