#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

namespace Lovageward {

/** The leases `cold/<upstream>`, one for each cold upstream; only the holder grants credits for the upstream. Thread-safe. */
class ColdStartLease
{
public:
    virtual ~ColdStartLease() = default;

    /** Acquires or renews the lease; may block on the log for a bounded time. Returns true if this node holds the lease afterwards. */
    virtual bool tryAcquire(const UpstreamId &upstream) = 0;

    /** True if this node holds the lease now, by its own monotonic clock. Doesn't block. */
    virtual bool isHeldNow(const UpstreamId &upstream) const = 0;

    /** End of the lease by this node's monotonic clock, less the safety margin; a past time if this node doesn't hold the lease. Doesn't block. */
    virtual TimePoint heldUntil(const UpstreamId &upstream) const = 0;
};

}
