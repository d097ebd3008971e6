#pragma once

#include <LibForward/ForwardOutcome.h>
#include <LibForward/UpstreamDialer.h>

namespace Lovageward {

/** Forwards streamed responses event by event and continues interrupted runs at another upstream if the route or a copy of the run's memory allows it. */
class StreamForwarder
{
public:
    explicit StreamForwarder(const ForwardDependencies &dependencies) : dependencies(dependencies), dialer(dependencies)
    {
    }

    /**
     * Sends the stream to the caller, or the unary error response of an upstream that did not stream. Throws CallerDisconnected, or Error if nothing
     * was sent to the caller.
     */
    ForwardOutcome forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive) const;

private:
    const ForwardDependencies &dependencies;
    UpstreamDialer dialer;
};

}
