#include <LibDispatch/CircuitBreakers.h>

namespace Lovageward {

void CircuitBreakers::appendBlockedUpstreams(TimePoint now, std::vector<UpstreamId> &blocked) const
{
    for (const auto &[upstream, breaker] : this->breakers) {
        if (!breaker.allowsRequest(now)) {
            blocked.push_back(upstream);
        }
    }
}

bool CircuitBreakers::recordStart(const UpstreamId &upstream)
{
    auto found = this->breakers.find(upstream);
    return found != this->breakers.end() && found->second.recordStart();
}

void CircuitBreakers::recordProbeResponse(const UpstreamId &upstream)
{
    auto found = this->breakers.find(upstream);
    if (found != this->breakers.end()) {
        found->second.recordProbeResponse();
    }
}

bool CircuitBreakers::recordEnd(const UpstreamId &upstream, PlacementOutcome outcome, bool isProbe, TimePoint now)
{
    auto isFailure = outcome != PlacementOutcome::Completed && outcome != PlacementOutcome::Cancelled;
    if (isFailure) {
        return this->breakers[upstream].recordFailure(now, isProbe, this->random);
    }
    auto found = this->breakers.find(upstream);
    if (found == this->breakers.end()) {
        return false;
    }
    if (outcome == PlacementOutcome::Cancelled) {
        found->second.recordAbandonment(isProbe);
    } else {
        found->second.recordSuccess(now, isProbe);
    }
    if (found->second.isIdle(now)) {
        this->breakers.erase(found);
    }
    return false;
}

}
