#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstdint>

namespace Lovageward {

/** Limits of a roll-out, as specified by the users. */
struct RolloutLimits
{
    /** Largest part of a pool's requests that a bad version may receive, and the requests that it may receive in addition, summed over all nodes. */
    double share = 0;
    double slack = 0;
    /** Time after the 50th bad response from which on no request may be sent to the version. */
    Duration rollbackTime = Duration(0);
};

/**
 * This node's budget of requests to the target version of one roll-out. Each request to the pool adds a share of a request, which grows in stages but
 * never exceeds 0.7 of the limit, and the node's part of the slack is spread over the first seconds. So the sum over all nodes stays within the limits
 * without coordination, however the requests are distributed. Budget that isn't used lapses, so that no burst of exposed requests follows a time
 * without capacity. Load pattern: many nodes that each see few requests. Not thread-safe.
 */
class RolloutExposure
{
public:
    /** Parts of the limit on the share, by stage: 1%, 3% and 6% of the requests if the limit is 10%. */
    static constexpr std::array<double, 3> stageShares { 0.1, 0.3, 0.6 };
    static constexpr std::uint32_t lastStage = stageShares.size() - 1;

    /** `nodeCount` is the number of nodes that divide the slack. */
    RolloutExposure(const RolloutLimits &limits, std::size_t nodeCount, TimePoint now);

    /** A request to the pool was placed, on any version. */
    void addRequest(std::uint32_t stage);

    /** Takes one request out of the budget. With `keepsReserve` one more has to remain, for routes that lack responses of the target version. */
    bool tryTake(TimePoint now, bool keepsReserve);

    /** Returns a request that was taken and not sent. */
    void giveBack();

    /** Part of the pool's requests that the stage exposes. */
    double shareOf(std::uint32_t stage) const;

private:
    double share;
    double budget = 0;
    double slack = 0;
    TimePoint nextSlackAt;
};

}
