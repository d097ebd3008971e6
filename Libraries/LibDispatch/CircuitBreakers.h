#pragma once

#include <LibCore/RandomSource.h>
#include <LibDispatch/CircuitBreaker.h>
#include <LibDispatch/Dispatcher.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/**
 * Circuit breakers by upstream. Only upstreams with recent failures have one. Not thread-safe: its owner serialises the calls.
 */
class CircuitBreakers
{
public:
    explicit CircuitBreakers(RandomSource &random) : random(random)
    {
    }

    /** Appends the upstreams whose breaker currently allows no request. */
    void appendBlockedUpstreams(TimePoint now, std::vector<UpstreamId> &blocked) const;

    /** Records that a request is sent to the upstream. Returns true if it is a probe. */
    bool recordStart(const UpstreamId &upstream);

    /** Records that a probe produced its first token. */
    void recordProbeResponse(const UpstreamId &upstream);

    /** Records the end of a request on the upstream. Returns true if this opened the breaker. */
    bool recordEnd(const UpstreamId &upstream, PlacementOutcome outcome, bool isProbe, TimePoint now);

    std::size_t size() const
    {
        return this->breakers.size();
    }

private:
    RandomSource &random;
    std::unordered_map<UpstreamId, CircuitBreaker> breakers;
};

}
