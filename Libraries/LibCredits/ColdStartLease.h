#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

namespace Lovageward {

/** The leases `cold/<upstream>` as credit owners need them. Safe to call from several threads. */
class ColdStartLease
{
public:
    virtual ~ColdStartLease() = default;

    /** Takes or renews the lease; may block on the log for a bounded time. Returns true if this node holds it afterwards. */
    virtual bool tryAcquire(const UpstreamId &upstream) = 0;

    /** True if this node holds the lease at this moment by its own monotonic clock. Doesn't block. */
    virtual bool isHeldNow(const UpstreamId &upstream) const = 0;

    /** End of the lease by this node's monotonic clock, with the safety margin already taken off; a past time if not held. Doesn't block. */
    virtual TimePoint heldUntil(const UpstreamId &upstream) const = 0;
};

}
