#include "SimulatedFleet.h"

namespace Lovageward {

namespace {

constexpr Duration tick = milliseconds(5);
constexpr Duration delayInRegion = milliseconds(1);
constexpr Duration delayBetweenRegions = milliseconds(20);

/** Size of the IP and UDP headers of a datagram. */
constexpr double headerBytes = 28;

}

SimulatedFleet::Node::Node(SimulatedFleet &fleet, const KnownHost &self)
    : fleet(fleet)
    , self(self)
    , random(std::hash<std::string>()(self.address))
    , registry(fleet.clock)
    , loads(fleet.clock)
    , tokenTimes(fleet.clock)
    , rateLimits(fleet.clock)
    , queriesOfDeath(fleet.clock)
    , speeds(fleet.clock, this->loads, fleet.options.usesReportedLoads)
    , peers(fleet.clock, this->random, self, 8)
    , rollouts(fleet.makeRollouts(*this))
    , agent({ fleet.clock,
              this->loads,
              this->tokenTimes,
              this->peers,
              this->mirror,
              this->registry,
              this->rateLimits,
              this->queriesOfDeath,
              this->speeds,
              *this,
              this->storeEras,
              this->rollouts.get() },
            self.host,
            self.failureDomain)
    , operators(fleet.clock,
                fleet.events,
                fleet.feeds[0],
                fleet.decoder,
                *this,
                { this->config, this->registry, this->mirror, *this, this->storeEras },
                FeedTopic::Operators,
                { .maximumWait = milliseconds(600), .pauseAfterRead = milliseconds(300) })
    , upstreams(fleet.clock,
                fleet.events,
                fleet.feeds[1],
                fleet.decoder,
                *this,
                { this->config, this->registry, this->mirror, *this, this->storeEras },
                FeedTopic::Upstreams,
                { .maximumWait = milliseconds(600), .pauseAfterRead = milliseconds(60) })
{
    this->storeEras.addListener(*this);
}

FeedPage SimulatedFleet::Node::pull(FeedTopic topic, const FeedPosition &position)
{
    for (const auto &address : this->peers.peersWithNewerRecords(topic, position)) {
        auto &peer = this->fleet.at(this->fleet.nodeByAddress.at(address));
        if (peer.isUp) {
            auto page = peer.mirror.recordsSince(topic, position);
            for (const auto &record : page.records) {
                this->trafficBytes += static_cast<double>(record.key.size() + record.value.size());
                peer.trafficBytes += static_cast<double>(record.key.size() + record.value.size());
            }
            return page;
        }
    }
    throw Error(ResultCode::PeerUnreachable, RunState::NotRun, "no peer");
}

bool SimulatedFleet::Node::hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const
{
    return !this->peers.peersWithNewerRecords(topic, position).empty();
}

bool SimulatedFleet::Node::isReader(FeedTopic topic) const
{
    return this->peers.isReader(topic);
}

TimePoint SimulatedFleet::Node::freshUntil(FeedTopic topic, StoreEra minimumEra) const
{
    return this->peers.freshUntil(topic, minimumEra);
}

bool SimulatedFleet::Node::isDiscoveryComplete() const
{
    return this->peers.isDiscoveryComplete();
}

Duration SimulatedFleet::Node::drawStoreCallJitter()
{
    return this->peers.drawStoreCallJitter();
}

Duration SimulatedFleet::Node::drawListingDelay()
{
    return this->peers.drawListingDelay();
}

void SimulatedFleet::Node::onRecordsComplete(FeedTopic /*topic*/)
{
    this->agent.announceCompleteRecords();
}

void SimulatedFleet::Node::onRecordsRead(const FeedBatch &batch)
{
    this->agent.queueRecords(batch);
}

TimePoint SimulatedFleet::Node::lastReadAt(FeedTopic topic) const
{
    return topic == FeedTopic::Operators ? this->operators.lastReadAt() : this->upstreams.lastReadAt();
}

std::optional<StoreOutageReport> SimulatedFleet::Node::recentOutage(FeedTopic topic) const
{
    return topic == FeedTopic::Operators ? this->operators.recentOutage() : this->upstreams.recentOutage();
}

void SimulatedFleet::Node::recordPeerOutage(FeedTopic topic, const StoreOutageReport &report)
{
    (topic == FeedTopic::Operators ? this->operators : this->upstreams).recordPeerOutage(report);
}

void SimulatedFleet::Node::receive(FeedBatch batch)
{
    auto topic = batch.topic;
    (topic == FeedTopic::Operators ? this->operators : this->upstreams).receive(std::move(batch));
    this->onNewerRecordsAvailable(topic);
}

void SimulatedFleet::Node::onNewerRecordsAvailable(FeedTopic topic)
{
    this->nextStepAt[static_cast<std::size_t>(topic)] = this->fleet.clock.now();
}

void SimulatedFleet::Node::onStoreEra(StoreEra /*era*/)
{
    this->agent.announceStoreEra();
    this->nextStepAt.fill(this->fleet.clock.now());
}

std::unique_ptr<RolloutController> SimulatedFleet::makeRollouts(Node &node)
{
    if (!this->options.rolloutSupport) {
        return nullptr;
    }
    const auto &support = *this->options.rolloutSupport;
    return std::make_unique<RolloutController>(
        RolloutDependencies { this->clock, this->events, this->counters, node.registry, node.loads, node.peers, support.sync, support.board },
        support.limits,
        node.self.host,
        this->locationOf(node.self.failureDomain),
        ++this->lastProcess);
}

NodeLocation SimulatedFleet::locationOf(const FailureDomainId &domain) const
{
    NodeLocation location;
    location.failureDomain = domain;
    for (std::size_t other = 0; other < this->domains; ++other) {
        location.regions[FailureDomainId(fmt::format("domain-{}", other))] = RegionId(std::to_string(other % regions));
    }
    location.region = location.regionOf(domain);
    return location;
}

SimulatedFleet::SimulatedFleet(std::size_t nodes, std::size_t domains, double lossShare, const FleetOptions &options)
    : domains(domains), lossShare(lossShare), options(options)
{
    this->clock.advance(minutes(1));
    for (std::size_t node = 0; node < nodes; ++node) {
        this->nodeByAddress[this->makeHost(node).address] = node;
        this->nodes.push_back(nullptr);
        this->restart(node);
    }
}

KnownHost SimulatedFleet::makeHost(std::size_t node) const
{
    return { HostId(fmt::format("front-{}", node)), FailureDomainId(fmt::format("domain-{}", node % this->domains)), fmt::format("10.0.0.{}:7200", node) };
}

void SimulatedFleet::restart(std::size_t node)
{
    this->nodes[node] = std::make_unique<Node>(*this, this->makeHost(node));
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        this->nodes[node]->peers.addKnownHost(this->makeHost(other));
    }
    for (auto &other : this->nodes) {
        if (other) {
            other->peers.addKnownHost(this->makeHost(node));
        }
    }
    this->nodes[node]->peers.markDirectoryRead();
}

void SimulatedFleet::run(Duration time)
{
    for (Duration elapsed(0); elapsed < time; elapsed += tick) {
        this->clock.advance(tick);
        this->deliver();
        for (auto &node : this->nodes) {
            if (node->isUp) {
                this->stepNode(*node);
            }
        }
    }
}

void SimulatedFleet::stepNode(Node &node)
{
    auto now = this->clock.now();
    if (now >= node.nextStepAt[0]) {
        node.nextStepAt[0] = node.operators.step();
    }
    if (now >= node.nextStepAt[1]) {
        node.nextStepAt[1] = node.upstreams.step();
    }
    if (now < node.agent.nextDueAt()) {
        return;
    }
    for (auto &digest : node.agent.takeDueDigests()) {
        auto bytes = std::make_shared<const std::string>(std::move(digest.bytes));
        for (const auto &target : digest.targets) {
            node.trafficBytes += static_cast<double>(bytes->size()) + headerBytes;
            if (this->random.unit() < this->lossShare) {
                continue;
            }
            auto isSameRegion = this->nodeByAddress.at(target) % regions == this->nodeByAddress.at(node.self.address) % regions;
            auto arrivesAt = now + (isSameRegion ? delayInRegion : delayBetweenRegions);
            this->inFlight.push(Datagram { arrivesAt, ++this->sentCount, node.self.address, target, bytes });
        }
    }
}

void SimulatedFleet::deliver()
{
    while (!this->inFlight.empty() && this->inFlight.top().arrivesAt <= this->clock.now()) {
        auto datagram = this->inFlight.top();
        this->inFlight.pop();
        auto &target = *this->nodes[this->nodeByAddress.at(datagram.target)];
        if (target.isUp) {
            target.trafficBytes += static_cast<double>(datagram.bytes->size()) + headerBytes;
            target.agent.receive(*datagram.bytes, datagram.from);
        }
    }
}

std::size_t SimulatedFleet::countUpToDate(FeedTopic topic) const
{
    auto position = static_cast<std::size_t>(topic);
    std::size_t count = 0;
    for (const auto &node : this->nodes) {
        count += node->isUp && node->mirror.nextPosition(topic) == FeedPosition { this->feeds[position].era, this->feeds[position].log.size() } ? 1 : 0;
    }
    return count;
}

void SimulatedFleet::resetTraffic()
{
    for (auto &node : this->nodes) {
        node->trafficBytes = 0;
    }
}

}
