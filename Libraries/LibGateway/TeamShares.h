#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <map>

namespace Lovageward {

/**
 * Tracks how much engine capacity each team has received recently, and by how much a team exceeds an equal share. A share that a team doesn't use is lent
 * to the others: the level only orders requests that wait. Load pattern: one team sends half of the traffic while capacity is insufficient.
 */
class TeamShares
{
public:
    /** Adds capacity that the team has received, in tokens of KV cache times seconds. */
    void add(const TeamId &team, double capacity, TimePoint now);

    /** 0 for a team at or below twice the equal share of the teams that were active recently, and one more for each further doubling. */
    int excessLevel(const TeamId &team, TimePoint now) const;

private:
    void decay(TimePoint now);

    std::map<TeamId, double> usages;
    double total = 0;
    TimePoint decayedAt;
};

}
