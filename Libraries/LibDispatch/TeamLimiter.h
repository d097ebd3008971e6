#pragma once

#include <LibCore/Ids.h>

#include <cstdint>
#include <unordered_map>

namespace Lovageward {

/** Limits the queued and running requests of each team on this node. Not thread-safe: its owner serialises the calls. */
class TeamLimiter
{
public:
    /** Counts a request and returns true unless the team already has `maximum` requests. */
    bool tryAcquire(const TeamId &team, std::uint32_t maximum);

    /** Removes a counted request. */
    void release(const TeamId &team);

    std::uint32_t requestCount(const TeamId &team) const;

private:
    std::unordered_map<TeamId, std::uint32_t> counts;
};

}
