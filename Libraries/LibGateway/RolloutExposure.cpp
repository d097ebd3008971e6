#include <LibGateway/RolloutExposure.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Part of the limits that is used at most. The rest allows for nodes that count the fleet or the requests differently. */
constexpr double usedPart = 0.7;

/** Budget that a node can accumulate. */
constexpr double maximumBudget = 2;

/** Interval at which a node adds a request of its part of the slack. */
constexpr Duration slackInterval = seconds(1);

}

RolloutExposure::RolloutExposure(const RolloutLimits &limits, std::size_t nodeCount, TimePoint now)
    : share(limits.share), slack(usedPart * limits.slack / static_cast<double>(std::max<std::size_t>(nodeCount, 1))), nextSlackAt(now)
{
}

double RolloutExposure::shareOf(std::uint32_t stage) const
{
    return this->share * std::min(stageShares.at(std::min(stage, lastStage)), usedPart);
}

void RolloutExposure::addRequest(std::uint32_t stage)
{
    this->budget = std::min(this->budget + this->shareOf(stage), maximumBudget);
}

bool RolloutExposure::tryTake(TimePoint now, bool keepsReserve)
{
    if (this->slack > 0 && now >= this->nextSlackAt) {
        auto part = std::min(this->slack, 1.0);
        this->slack -= part;
        this->budget = std::min(this->budget + part, maximumBudget);
        this->nextSlackAt = now + slackInterval;
    }
    if (this->budget < (keepsReserve ? maximumBudget : 1.0)) {
        return false;
    }
    this->budget -= 1;
    return true;
}

void RolloutExposure::giveBack()
{
    this->budget = std::min(this->budget + 1, maximumBudget);
}

}
