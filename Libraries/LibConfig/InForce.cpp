#include <LibConfig/InForce.h>

namespace Lovageward {

InForce inForce(const Membership &membership, Offset ownOffset, Offset change)
{
    InForce summary;
    auto self = membership.self().host;
    for (auto member : membership.liveMembers()) {
        if (member.host == self) {
            member.configOffset = ownOffset;
        }
        ++summary.liveNodes;
        if (member.configOffset >= change) {
            ++summary.nodesInForce;
        } else {
            summary.behind.push_back(member);
        }
    }
    return summary;
}

}
