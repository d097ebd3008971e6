#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace Lovageward {

/** Where nodes leave the addresses of their peer sockets for each other. */
class HostDirectory
{
public:
    virtual ~HostDirectory() = default;

    /** Throws Error(LogUnavailable). */
    virtual void announce(const HostId &host, const std::string &peerAddress, TimePoint deadline) = 0;

    /** Addresses of all hosts that were announced, also of some that are gone. Throws Error(LogUnavailable). */
    virtual std::vector<std::string> peerAddresses(TimePoint deadline) = 0;
};

}
