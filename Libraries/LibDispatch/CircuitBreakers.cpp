#include <LibDispatch/CircuitBreakers.h>

namespace Lovageward {

void CircuitBreakers::appendBlocked(TimePoint now, std::vector<UpstreamId> &blocked) const
{
    for (const auto &[upstream, breaker] : this->breakers) {
        if (!breaker.allows(now)) {
            blocked.push_back(upstream);
        }
    }
}

bool CircuitBreakers::started(const UpstreamId &upstream)
{
    auto found = this->breakers.find(upstream);
    return found != this->breakers.end() && found->second.started();
}

void CircuitBreakers::probeResponded(const UpstreamId &upstream)
{
    auto found = this->breakers.find(upstream);
    if (found != this->breakers.end()) {
        found->second.probeResponded();
    }
}

bool CircuitBreakers::ended(const UpstreamId &upstream, PlacementOutcome outcome, bool isProbe, TimePoint now)
{
    auto isFailure = outcome != PlacementOutcome::Completed && outcome != PlacementOutcome::Cancelled;
    if (isFailure) {
        return this->breakers[upstream].failed(now, isProbe, this->random);
    }
    auto found = this->breakers.find(upstream);
    if (found == this->breakers.end()) {
        return false;
    }
    if (outcome == PlacementOutcome::Cancelled) {
        found->second.abandoned(isProbe);
    } else {
        found->second.succeeded(now, isProbe);
    }
    if (found->second.isIdle(now)) {
        this->breakers.erase(found);
    }
    return false;
}

}
