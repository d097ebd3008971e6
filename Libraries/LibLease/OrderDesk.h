#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace Lovageward {

/** What operators can have done to the engines of a pool. */
enum class PoolOrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
};

/** An operator's order for all engines of a pool. */
struct PoolOrder
{
    PoolId pool;
    PoolOrderKind kind = PoolOrderKind::LoadModel;
    ModelId model;
};

/** How far an order has come. */
struct PoolOrderProgress
{
    PoolOrder order;
    std::uint32_t upstreams = 0;
    std::uint32_t done = 0;
    std::uint32_t failed = 0;
    /** For people, for example "waiting for the lease orders/tailor-llm". */
    std::string note;
};

/** Takes orders from operators and reports their progress. Safe to call from several threads. */
class OrderDesk
{
public:
    virtual ~OrderDesk() = default;

    /** Starts an order, or returns the progress of the same order if it is running. Throws Error(OrderRejected or NotFound). */
    virtual PoolOrderProgress submit(const PoolOrder &order, TimePoint deadline) = 0;

    /** Orders that this node knows, newest first. */
    virtual std::vector<PoolOrderProgress> orders() const = 0;
};

}
