#include <LibNode/OrderSchedulerAdapter.h>

#include <LibCore/Error.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

OrderKind toOrderKind(PoolOrderKind kind)
{
    switch (kind) {
    case PoolOrderKind::LoadAdapter:
        return OrderKind::LoadAdapter;
    case PoolOrderKind::LoadVersion:
        return OrderKind::LoadVersion;
    case PoolOrderKind::ChangeRole:
        return OrderKind::ChangeRole;
    case PoolOrderKind::LoadModel:
        break;
    }
    return OrderKind::LoadModel;
}

PoolOrderKind toPoolOrderKind(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadAdapter:
        return PoolOrderKind::LoadAdapter;
    case OrderKind::LoadVersion:
        return PoolOrderKind::LoadVersion;
    case OrderKind::ChangeRole:
        return PoolOrderKind::ChangeRole;
    case OrderKind::LoadModel:
        break;
    }
    return PoolOrderKind::LoadModel;
}

/** Derives the id from the content of the order, so that an order that is submitted twice starts only once. */
OrderId makeOrderId(const PoolOrder &order)
{
    return OrderId(fmt::format("{}/{}/{}", order.pool.value(), static_cast<int>(order.kind), order.model.value()));
}

PoolOrderProgress toProgress(const OrderStatus &status)
{
    PoolOrderProgress progress;
    progress.order = PoolOrder { status.order.pool, toPoolOrderKind(status.order.kind), status.order.model };
    progress.upstreams = static_cast<std::uint32_t>(status.engines.size());
    for (const auto &engine : status.engines) {
        progress.done += engine.state == OrderState::Done ? 1 : 0;
        progress.failed += engine.state == OrderState::Failed ? 1 : 0;
        if (progress.note.empty()) {
            progress.note = engine.reason;
        }
    }
    return progress;
}

}

OrderSchedulerAdapter::OrderSchedulerAdapter(OrderScheduler &scheduler, const Configuration &configuration) : scheduler(scheduler), configuration(configuration)
{
}

PoolOrderProgress OrderSchedulerAdapter::submit(const PoolOrder &order, TimePoint /*deadline*/)
{
    auto pool = this->configuration.pool(order.pool);
    if (!pool) {
        throw Error(ResultCode::NotFound, RunState::NotRun, fmt::format("pool '{}' isn't configured", order.pool.value()));
    }
    Order engineOrder;
    engineOrder.id = makeOrderId(order);
    engineOrder.kind = toOrderKind(order.kind);
    engineOrder.pool = order.pool;
    engineOrder.model = order.model;
    this->scheduler.submit(engineOrder, *pool);
    auto status = this->scheduler.progress(engineOrder.id);
    return status ? toProgress(*status) : PoolOrderProgress { order, 0, 0, 0, "" };
}

std::vector<PoolOrderProgress> OrderSchedulerAdapter::orders() const
{
    std::vector<PoolOrderProgress> result;
    auto statuses = this->scheduler.all();
    for (auto status = statuses.rbegin(); status != statuses.rend(); ++status) {
        result.push_back(toProgress(*status));
    }
    return result;
}

}
