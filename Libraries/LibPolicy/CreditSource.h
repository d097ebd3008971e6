#pragma once

#include <LibCore/Ids.h>

namespace Lovageward {

/** Grants credits to place new requests on cold upstreams. Neither call blocks on I/O. Thread-safe. */
class CreditSource
{
public:
    virtual ~CreditSource() = default;

    /** Takes one unexpired credit for the upstream. Returns false if this node holds none, and requests more in the background. */
    virtual bool tryAcquire(const UpstreamId &upstream) = 0;

    /** Records that a request that was placed with a credit has ended. */
    virtual void release(const UpstreamId &upstream) = 0;
};

}
