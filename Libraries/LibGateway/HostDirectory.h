#pragma once

#include <LibCore/Time.h>
#include <LibGateway/PeerDigest.h>

#include <vector>

namespace Lovageward {

/** All registered hosts, including some that no longer run, and the era of the store that returned them. */
struct HostListing
{
    std::vector<KnownHost> hosts;
    StoreEra era;
};

/** Directory in which nodes register the addresses of their peer sockets to find each other. */
class HostDirectory
{
public:
    virtual ~HostDirectory() = default;

    /** Registers this node's address. Returns the era of the store in which it is registered. Throws Error(LogUnavailable). */
    virtual StoreEra announce(const KnownHost &host, TimePoint deadline) = 0;

    /** Throws Error(LogUnavailable). */
    virtual HostListing hosts(TimePoint deadline) = 0;
};

}
