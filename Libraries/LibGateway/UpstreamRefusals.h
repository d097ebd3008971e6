#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/UpstreamRecord.h>

#include <map>
#include <mutex>
#include <optional>

namespace Lovageward {

/**
 * Tracks the upstreams that have asked this node to send no requests for some time. Refusals are not shared between nodes, so that a refusal never
 * empties a pool for all nodes. Load pattern: an upstream that sheds load while its callers retry immediately. Thread-safe; its mutex is a leaf lock.
 */
class UpstreamRefusals
{
public:
    explicit UpstreamRefusals(const Clock &clock) : clock(clock)
    {
    }

    /** Records that the upstream accepts no requests for the time `wait`. Zero and negative times are ignored; times above ten minutes count as ten minutes. */
    void recordRefusal(const UpstreamRecord &upstream, Duration wait);

    /** Time until which the process accepts no requests from this node; nullopt if it accepts them now. */
    std::optional<TimePoint> refusedUntil(const UpstreamRecord &upstream) const;

private:
    struct Refusal
    {
        /** The process that refused. The refusal doesn't apply to a later process with the same id. */
        BootId boot;
        TimePoint until;
    };

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<UpstreamId, Refusal> refusals;
};

}
