#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>
#include <LibDispatch/RetryBudget.h>
#include <LibGateway/FleetView.h>

#include <map>
#include <mutex>

namespace Lovageward {

/** Limits on the retries to one pool, for all nodes together. */
struct RetryBudgetLimits
{
    /** Retries per request of a caller. */
    double ratio = 0;
    /** Retries per window that are allowed in addition to the ratio. */
    double slack = 0;
    Duration window = seconds(10);
};

/**
 * This node's share of the retry budget of each pool. Load pattern: a failing pool whose load would be multiplied by retries. Thread-safe; its mutex
 * is a leaf lock.
 */
class PoolRetryBudgets
{
public:
    PoolRetryBudgets(const Clock &clock, const RetryBudgetLimits &limits, const FleetView &fleet) : clock(clock), limits(limits), fleet(fleet)
    {
    }

    void countRequest(const PoolId &pool);

    /** Takes one retry out of the budget. Returns false if the budget is used up. */
    bool tryRetry(const PoolId &pool);

private:
    RetryBudget &budgetFor(const PoolId &pool);

    const Clock &clock;
    RetryBudgetLimits limits;
    const FleetView &fleet;
    std::mutex mutex;
    std::map<PoolId, RetryBudget> budgets;
};

}
