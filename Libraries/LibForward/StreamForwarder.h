#pragma once

#include <LibForward/UpstreamDialer.h>

namespace Lovageward {

/** How the forwarding of a stream ended, for the caller's connection. */
enum class StreamEnd {
    /** The answer is whole. */
    Complete,
    /** Events were sent and the rest is lost; the connection must end. */
    CutOff,
};

/** Forwards streamed answers event by event and carries interrupted runs over to another upstream where that is allowed. */
class StreamForwarder
{
public:
    explicit StreamForwarder(const ForwardParts &parts) : parts(parts), dialer(parts)
    {
    }

    /**
     * Answers the caller with the stream, or with the whole answer of an upstream that did not stream. Throws CallerGone, or Error if nothing
     * was sent to the caller.
     */
    StreamEnd forward(const AdmittedWork &work, CallerChannel &caller, bool keepsOpen) const;

private:
    const ForwardParts &parts;
    UpstreamDialer dialer;
};

}
