#pragma once

#include <LibRelay/GenerationTarget.h>

namespace Lovageward {

/**
 * Handles generations whose callers have disconnected in the middle of a stream. A lost connection can't be told apart from a
 * caller that gave up, so the generation is kept for a short time in which the caller may resume at any node. Thread-safe.
 */
class StreamHandover
{
public:
    virtual ~StreamHandover() = default;

    /** Node that resume tokens of this node name as the owner of their generation. */
    virtual HostId ownerHost() const = 0;

    /** Keeps the generation running for the resume time and then cancels it, unless a node has taken it over. Doesn't block. */
    virtual void abandon(const GenerationTarget &target) = 0;

    /**
     * Notifies the owner that this node relays the generation from now on, so that the owner doesn't cancel it. Blocks for a
     * bounded time. An unreachable owner is assumed to be dead; in that case no node cancels the generation.
     */
    virtual void takeOver(const HostId &owner, const GenerationId &generation) = 0;
};

}
