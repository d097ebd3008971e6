#include <LibNode/NodeStatusUpdater.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr auto updateInterval = milliseconds(500);

}

NodeStatusUpdater::NodeStatusUpdater(Routing &routing)
    : routing(routing), logger(routing.shared.context.sink, "node"), isolatedGauge(routing.shared.context.counters.counter("lovageward_node_isolated"))
{
}

TimePoint NodeStatusUpdater::step()
{
    auto &shared = this->routing.shared;
    shared.gossip.setConfigOffset(shared.config.appliedOffset());
    auto members = shared.gossip.liveMembers();
    auto ownRegion = shared.context.settings.region;
    auto inRegion = std::count_if(members.begin(), members.end(), [&](const Member &member) { return member.region == ownRegion; });
    this->routing.link.setLiveNodeCount(static_cast<std::size_t>(inRegion));
    this->routing.chooser.setNodeCount(members.size());
    if (!this->hasSeenUpstreams) {
        this->hasSeenUpstreams = !this->routing.table.allUpstreams().empty();
    }
    if (shared.config.isReady()) {
        this->updateIsolation(shared.isIsolated());
    }
    return shared.context.clock.now() + updateInterval;
}

ReadinessReport NodeStatusUpdater::report() const
{
    if (!this->routing.shared.config.isReady()) {
        return ReadinessReport { false, ResultCode::NodeStarting, "the configuration has not been read yet" };
    }
    if (!this->hasSeenUpstreams) {
        return ReadinessReport { false, ResultCode::NodeStarting, "no upstream has appeared in the host list yet" };
    }
    if (this->isIsolated) {
        return ReadinessReport { false, ResultCode::NodeIsolated, "neither the log nor any peer is reachable" };
    }
    return ReadinessReport {};
}

void NodeStatusUpdater::updateIsolation(bool isNowIsolated)
{
    if (this->isIsolated.exchange(isNowIsolated) == isNowIsolated) {
        return;
    }
    this->routing.dispatcher.setIsolated(isNowIsolated);
    this->isolatedGauge.set(isNowIsolated ? 1 : 0);
    if (isNowIsolated) {
        this->logger.warning("Neither the log nor any peer is reachable; refusing new work.");
    } else {
        this->logger.info("The log or a peer is reachable again; accepting new work.");
    }
}

}
