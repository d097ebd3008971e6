#pragma once

#include <LibMembership/HostList.h>

#include <vector>

namespace Lovageward {

/** Gets every host list that was fetched. */
class HostListListener
{
public:
    virtual ~HostListListener() = default;

    /** Called by the thread of the HostListPoller. */
    virtual void hostListFetched(const std::vector<ListedHost> &hosts) = 0;
};

}
