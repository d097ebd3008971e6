#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Lovageward {

/** Version of the program that an upstream runs, as its entry states it. */
using UpstreamVersion = TextId<struct UpstreamVersionTag>;

/** Identifies an order by the position of its record. A higher id is a newer order. */
using RolloutOrderId = NumberId<struct RolloutOrderIdTag>;

/** Offsets are assigned again after a restoration of the store, so the era takes the upper bits of the id. */
inline RolloutOrderId makeRolloutOrderId(StoreEra era, std::uint64_t offset)
{
    constexpr unsigned offsetBits = 48;
    return RolloutOrderId(era.value() << offsetBits | offset);
}

/** The operator's order to shift the traffic of a pool to the upstreams of one version. */
struct RolloutOrder
{
    RolloutOrderId id;
    PoolId pool;
    UpstreamVersion target;
    /** Time at which this node read the order. Peers may have read it before. */
    TimePoint readAt;
    /** End of the order's time if it was written at `readAt`. */
    TimePoint endsAt;
    /** Era of the store in which the order was read. */
    StoreEra era {};
};

/** State of a roll-out as the system reports it to the operator. */
enum class RolloutState : std::uint8_t {
    Running = 0,
    Completed = 1,
    RolledBack = 2,
};

/** Whether the roll-out has ended. */
constexpr bool isFinal(RolloutState state)
{
    return state != RolloutState::Running;
}

/** The newest report about the roll-outs of a pool in the store. */
struct RolloutStatus
{
    PoolId pool;
    UpstreamVersion target;
    RolloutState state = RolloutState::Running;
    /** The order that the report is about; absent in records of other writers. */
    std::optional<RolloutOrderId> order;
};

/** Receives the orders and reports that the store holds. */
class RolloutRecordListener
{
public:
    virtual ~RolloutRecordListener() = default;

    /** The pool's newest order was read. Older orders of the pool are ignored. */
    virtual void applyOrder(const RolloutOrder &order) = 0;

    /** The pool's newest report was read. */
    virtual void applyStatus(const RolloutStatus &status) = 0;
};

}
