#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibGateway/RolloutRecords.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** Entry with which an upstream has registered. */
struct UpstreamRecord
{
    UpstreamId id;
    /** Identifies the process; changes with each start even if the upstream's id doesn't. */
    BootId boot;
    PoolId pool;
    /** "IP:port". */
    std::string address;
    FailureDomainId failureDomain;
    UpstreamVersion version;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** The upstream is cold and can handle only few requests until this time. */
    TimePoint coldUntil;
    /** Increases with each entry that the process writes. */
    std::uint64_t sequence = 0;
    /** Era of the store from which the entry was read. */
    StoreEra era;
};

}
