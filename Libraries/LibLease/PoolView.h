#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <vector>

namespace Lovageward {

/** An engine of a pool as its last load report shows it. */
struct PoolEngine
{
    UpstreamId upstream;
    bool isWarm = false;
    /** Leaving engines get no orders. */
    bool isLeaving = false;
    /** Local time of the load report. */
    TimePoint measuredAt;
};

/** What the order scheduler must know of a pool. Safe to call from several threads. */
class PoolView
{
public:
    virtual ~PoolView() = default;
    virtual std::vector<PoolEngine> enginesOf(const PoolId &pool) const = 0;
};

}
