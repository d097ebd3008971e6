#pragma once

#include <LibMembership/Membership.h>

#include <vector>

namespace Lovageward {

/** Where a change is in force. */
struct InForce
{
    std::size_t liveNodes = 0;
    /** Live nodes that have applied the change's offset. */
    std::size_t nodesInForce = 0;
    /** Live nodes that have not, or of which it isn't known yet. */
    std::vector<Member> behind;

    bool isEverywhere() const
    {
        return this->behind.empty();
    }
};

/** Compares the gossiped offsets of the live nodes with the offset of a change. For this node `ownOffset` counts. */
InForce inForce(const Membership &membership, Offset ownOffset, Offset change);

}
