#include <LibGateway/PoolRetryBudgets.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Share of the limits that is used. The rest is a margin for retries that fall into a later window than their requests. */
constexpr double usableBudgetShare = 0.8;

}

void PoolRetryBudgets::countRequest(const PoolId &pool)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->budgetFor(pool).recordRequest(this->clock.now());
}

bool PoolRetryBudgets::tryRetry(const PoolId &pool)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &budget = this->budgetFor(pool);
    budget.setMinimumRetries(usableBudgetShare * this->limits.slack / static_cast<double>(std::max<std::size_t>(this->fleet.nodeCount(), 1)));
    return budget.tryConsumeRetry(this->clock.now());
}

RetryBudget &PoolRetryBudgets::budgetFor(const PoolId &pool)
{
    return this->budgets.try_emplace(pool, usableBudgetShare * this->limits.ratio, 0, this->limits.window).first->second;
}

}
