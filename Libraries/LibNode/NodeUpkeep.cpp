#include <LibNode/NodeUpkeep.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr auto upkeepPeriod = milliseconds(500);

}

NodeUpkeep::NodeUpkeep(Routing &routing)
    : routing(routing), logger(routing.shared.basis.sink, "node"), isolatedGauge(routing.shared.basis.counters.counter("lovageward_node_isolated"))
{
}

TimePoint NodeUpkeep::step()
{
    auto &shared = this->routing.shared;
    shared.gossip.setConfigOffset(shared.config.appliedOffset());
    auto members = shared.gossip.liveMembers();
    auto ownRegion = shared.basis.settings.region;
    auto inRegion = std::count_if(members.begin(), members.end(), [&](const Member &member) { return member.region == ownRegion; });
    this->routing.link.setLiveNodes(static_cast<std::size_t>(inRegion));
    this->routing.chooser.setNodeCount(members.size());
    if (!this->hasUpstreams) {
        this->hasUpstreams = !this->routing.table.all().empty();
    }
    if (shared.config.isReady()) {
        this->noteIsolation(shared.isIsolated());
    }
    return shared.basis.clock.now() + upkeepPeriod;
}

ReadinessReport NodeUpkeep::report() const
{
    if (!this->routing.shared.config.isReady()) {
        return ReadinessReport { false, ResultCode::NodeStarting, "the configuration hasn't been read yet" };
    }
    if (!this->hasUpstreams) {
        return ReadinessReport { false, ResultCode::NodeStarting, "the host list has shown no upstream yet" };
    }
    if (this->isIsolated) {
        return ReadinessReport { false, ResultCode::NodeIsolated, "neither the log nor any peer is in reach" };
    }
    return ReadinessReport {};
}

void NodeUpkeep::noteIsolation(bool isNowIsolated)
{
    if (this->isIsolated.exchange(isNowIsolated) == isNowIsolated) {
        return;
    }
    this->routing.dispatcher.setIsolated(isNowIsolated);
    this->isolatedGauge.set(isNowIsolated ? 1 : 0);
    if (isNowIsolated) {
        this->logger.warning("Isolated from the log and from all peers; new work is refused.");
    } else {
        this->logger.info("Contact to the log or a peer is back; new work is accepted.");
    }
}

}
