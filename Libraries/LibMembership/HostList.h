#pragma once

#include <LibCore/Ids.h>
#include <LibPeer/PeerTransport.h>

#include <string>
#include <vector>

namespace Lovageward {

enum class HostKind {
    Entry,
    Upstream,
};

/** One row of the platform's host list. */
struct ListedHost
{
    /** Host id of an entry host, upstream id of an upstream. */
    std::string name;
    HostKind kind;
    /** Empty for entry hosts. */
    PoolId pool;
    RegionId region;
    FailureDomainId failureDomain;
    /** "IP:port" of the HTTP interface. */
    std::string address;
    /** Empty for upstreams. */
    PeerAddress peerAddress;
    bool isLeaving = false;
};

/** The platform's list of live and leaving hosts. It lags behind the truth. */
class HostList
{
public:
    virtual ~HostList() = default;

    /** Throws Error(HostListUnavailable). Blocks until the deadline at most. */
    virtual std::vector<ListedHost> fetch(TimePoint deadline) = 0;
};

}
