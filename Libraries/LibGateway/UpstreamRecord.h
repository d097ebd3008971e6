#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** What an upstream has registered about itself. */
struct UpstreamRecord
{
    UpstreamId id;
    /** Changes with each start of the process, also when the id stays. */
    BootId boot;
    PoolId pool;
    /** "IP:port". */
    std::string address;
    FailureDomainId failureDomain;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** The upstream withstands only a few requests until then. */
    TimePoint coldUntil;
};

}
