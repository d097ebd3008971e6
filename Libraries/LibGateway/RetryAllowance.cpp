#include <LibGateway/RetryAllowance.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Share of the bound that is used; the rest covers arrivals that fall into another window than the requests they belong to. */
constexpr double usedShare = 0.8;

}

RetryAllowance::RetryAllowance(const Clock &clock, const RetryBound &bound, std::size_t nodes)
    : clock(clock), bound(bound), floor(static_cast<std::uint32_t>(usedShare * bound.slack / static_cast<double>(std::max<std::size_t>(nodes, 1))))
{
}

void RetryAllowance::countRequest(const PoolId &pool)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->budgetOf(pool).countRequest(this->clock.now());
}

bool RetryAllowance::tryRepeat(const PoolId &pool)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->budgetOf(pool).tryRetry(this->clock.now());
}

RetryBudget &RetryAllowance::budgetOf(const PoolId &pool)
{
    return this->budgets.try_emplace(pool, usedShare * this->bound.ratio, this->floor, this->bound.window).first->second;
}

}
