#pragma once

#include <LibConfig/Configuration.h>
#include <LibLease/OrderDesk.h>
#include <LibLease/OrderScheduler.h>

namespace Lovageward {

/** OrderDesk that submits operators' orders to the order scheduler of this node. */
class OrderSchedulerAdapter final : public OrderDesk
{
public:
    OrderSchedulerAdapter(OrderScheduler &scheduler, const Configuration &configuration);

    PoolOrderProgress submit(const PoolOrder &order, TimePoint deadline) override;
    std::vector<PoolOrderProgress> orders() const override;

private:
    OrderScheduler &scheduler;
    const Configuration &configuration;
};

}
