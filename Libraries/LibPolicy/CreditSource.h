#pragma once

#include <LibCore/Ids.h>

namespace Lovageward {

/** Credits for new work on cold upstreams. Neither call blocks on I/O. Safe to call from several threads. */
class CreditSource
{
public:
    virtual ~CreditSource() = default;

    /** Takes one unexpired credit for the upstream if this node holds one; otherwise asks for more in the background. */
    virtual bool tryAcquire(const UpstreamId &upstream) = 0;

    /** Reports that work placed with a credit has ended. */
    virtual void release(const UpstreamId &upstream) = 0;
};

}
