#pragma once

#include <LibCore/Ids.h>

#include <cstddef>
#include <cstdint>

namespace Lovageward {

/** Selects the upstreams that UpstreamTable::sample returns. */
struct UpstreamSampleRequest
{
    PoolId pool;
    RegionId region;
    /** True for the upstreams of the pool in the region, false for those in all other regions. */
    bool isInRegion = true;
    /** Maximum number of upstreams. If no more match, all of them are returned. */
    std::size_t limit = 16;
    /** If not 0, the first upstream returned is the one that this hash maps to, which is equal on every node. */
    std::uint64_t affinityHash = 0;
};

}
