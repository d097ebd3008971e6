#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward {

using OrderId = TextId<struct OrderIdTag>;

enum class OrderKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
};

/** An order to all engines of a pool. */
struct Order
{
    OrderId id;
    OrderKind kind = OrderKind::LoadModel;
    PoolId pool;
    ModelId model;
    /** Adapter, version or role; empty for LoadModel. */
    std::string detail;
};

enum class OrderState : std::uint8_t {
    /** Not sent yet: the lease, the wait for a predecessor's orders, the warm share or the weight store's rate is missing. */
    Waiting,
    /** Sent and acknowledged; the engine isn't warm again yet. */
    Loading,
    Done,
    Failed,
};

/** Progress of an order on one engine. */
struct OrderProgress
{
    UpstreamId upstream;
    OrderState state = OrderState::Waiting;
    unsigned attempts = 0;
    /** Why it waits or failed, for operators. */
    std::string reason;
};

/** Progress of an order on all engines of its pool. */
struct OrderStatus
{
    Order order;
    std::vector<OrderProgress> engines;
    bool isFinished = false;
};

}
