#pragma once

namespace Lovageward {

/** How the forwarding of a response ended; decides whether the caller's connection can be kept. */
enum class ForwardOutcome {
    /** The complete response was sent to the caller. */
    Complete,
    /** Only a part of the response was sent. The connection must be closed so that the response doesn't look complete. */
    Truncated,
};

}
