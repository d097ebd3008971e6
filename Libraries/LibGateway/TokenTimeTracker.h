#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Ids.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace Lovageward {

/**
 * Tracks the time per output token of each engine while it is not prefilling, from the runs of this node and from the reports of peers. Engines of
 * one pool differ in speed, and an engine can become slower. Load pattern: long outputs on engines of unequal speed. Thread-safe; its mutex is a
 * leaf lock.
 */
class TokenTimeTracker
{
public:
    explicit TokenTimeTracker(const Clock &clock) : clock(clock)
    {
    }

    /** Adds a measurement from a run of this node: time per output token, averaged over several events. */
    void recordSample(const UpstreamId &engine, Duration tokenTime);

    /** Records the estimate that a peer reports. `engineHash` is the LoadTracker::hashUpstreamId of the engine; a time of zero is ignored. */
    void recordPeerEstimate(std::uint64_t engineHash, Duration tokenTime);

    /** The most recent estimate, from this node or a peer; zero if there is no recent one. */
    Duration tokenTime(const UpstreamId &engine) const;

    /** The estimate from this node's own runs for the engine with this LoadTracker::hashUpstreamId; zero if there is no recent one. */
    Duration localTokenTime(std::uint64_t engineHash) const;

private:
    struct Estimate
    {
        Duration tokenTime = Duration(0);
        TimePoint updatedAt;
    };

    using Estimates = std::unordered_map<std::uint64_t, Estimate>;

    Estimate findFresh(const Estimates &estimates, std::uint64_t engineHash) const;
    void removeExpired(Estimates &estimates) const;

    const Clock &clock;
    mutable std::mutex mutex;
    Estimates localEstimates;
    Estimates peerEstimates;
};

}
