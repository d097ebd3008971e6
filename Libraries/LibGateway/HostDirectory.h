#pragma once

#include <LibCore/Time.h>
#include <LibGateway/PeerDigest.h>

#include <vector>

namespace Lovageward {

/** Where nodes leave the addresses of their peer sockets for each other. */
class HostDirectory
{
public:
    virtual ~HostDirectory() = default;

    /** Throws Error(LogUnavailable). */
    virtual void announce(const KnownHost &host, TimePoint deadline) = 0;

    /** All hosts that were announced, also some that are gone. Throws Error(LogUnavailable). */
    virtual std::vector<KnownHost> hosts(TimePoint deadline) = 0;
};

}
