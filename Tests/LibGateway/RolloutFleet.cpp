#include "RolloutFleet.h"

namespace Lovageward {

namespace {

constexpr Duration tick = milliseconds(5);
constexpr Duration serviceTime = milliseconds(40);
constexpr std::uint64_t badResponseLimit = 50;

/** Part of the requests that are on the route "rare". */
constexpr double rareRoutePart = 0.1;

}

const RolloutLimits RolloutFleet::limits { 0.1, 50, milliseconds(5000) };

void FakeBoard::throwIfDown() const
{
    if (this->isDown) {
        throw Error(ResultCode::LogUnavailable, RunState::Unknown, "down");
    }
}

StatusBoardEntry FakeBoard::readNewest(const PoolId &pool, TimePoint /*deadline*/)
{
    this->throwIfDown();
    StatusBoardEntry entry;
    for (const auto &status : this->log) {
        entry.status = status.pool == pool ? status : entry.status;
    }
    entry.end = this->log.size();
    return entry;
}

StatusWriteResult FakeBoard::writeAt(const RolloutStatus &status, std::uint64_t end, TimePoint /*deadline*/)
{
    this->throwIfDown();
    if (end != this->log.size()) {
        return StatusWriteResult::Conflict;
    }
    this->log.push_back(status);
    if (this->losesResponses) {
        throw Error(ResultCode::LogUnavailable, RunState::Unknown, "lost");
    }
    return StatusWriteResult::Written;
}

RolloutFleet::Gateway::Gateway(RolloutFleet &owner, std::size_t node)
    : health(owner.fleet.clock)
    , refusals(owner.fleet.clock)
    , rateLimiter(owner.fleet.clock, owner.random)
    , picker(owner.fleet.locationOf(owner.fleet.at(node).self.failureDomain), owner.random, 0)
    , placer(owner.fleet.clock,
             owner.fleet.at(node).registry,
             owner.fleet.at(node).loads,
             owner.fleet.at(node).tokenTimes,
             this->health,
             this->refusals,
             owner.fleet.at(node).rateLimits,
             this->rateLimiter,
             owner.fleet.at(node).speeds,
             this->picker,
             owner.random,
             owner.fleet.at(node).peers,
             owner.fleet.at(node).rollouts.get())
{
}

RolloutFleet::RolloutFleet(std::size_t nodes, std::size_t domains, VersionModel model, double requestsPerNodeAndSecond)
    : model(std::move(model))
    , fleet(nodes, domains, 0.01, { SimulatedFleet::RolloutSupport { limits, this->sync, this->board } })
    , requestsPerNodeAndSecond(requestsPerNodeAndSecond)
{
    this->pool.id = PoolId("services");
    for (std::size_t node = 0; node < nodes; ++node) {
        this->gateways.push_back(std::make_unique<Gateway>(*this, node));
        this->addUpstreams(node);
    }
    this->run(seconds(4));
}

void RolloutFleet::addUpstreams(std::size_t node)
{
    for (std::size_t other = 0; other < this->fleet.size(); ++other) {
        for (const std::string version : { "v1", "v2" }) {
            auto record = upstreamRecord(fmt::format("{}-{}", version, other), this->fleet.at(other).self.failureDomain.value());
            record.pool = this->pool.id;
            record.version = UpstreamVersion(version);
            record.slots = 6;
            if (version == "v1" || !this->target.empty()) {
                this->fleet.at(node).registry.put(record);
            }
        }
    }
}

void RolloutFleet::order(const std::string &version, std::uint64_t id, Duration time, StoreEra era)
{
    this->target = version;
    this->orderId = makeRolloutOrderId(era, id).value();
    this->orderedAt = this->fleet.clock.now();
    this->orderEndsAt = this->orderedAt + time;
    this->requests = 0;
    this->exposed = 0;
    for (std::size_t node = 0; node < this->fleet.size(); ++node) {
        this->addUpstreams(node);
        RolloutOrder order { makeRolloutOrderId(era, id), this->pool.id, UpstreamVersion(version), this->orderedAt, this->orderEndsAt, era };
        this->fleet.at(node).rollouts->applyOrder(order);
    }
}

void RolloutFleet::restart(std::size_t node)
{
    std::erase_if(this->responses, [&](auto &entry) { return entry.second.node == node; });
    this->gateways[node].reset();
    this->fleet.restart(node);
    this->gateways[node] = std::make_unique<Gateway>(*this, node);
    this->addUpstreams(node);
    auto now = this->fleet.clock.now();
    // The node can't tell when the order was written.
    RolloutOrder order { RolloutOrderId(this->orderId), this->pool.id, UpstreamVersion(this->target), now, now + (this->orderEndsAt - this->orderedAt), {} };
    this->fleet.at(node).rollouts->applyOrder(order);
}

void RolloutFleet::sendRequest(std::size_t node)
{
    auto now = this->fleet.clock.now();
    Route route;
    route.id = RouteId(this->random.unit() < rareRoutePart ? "rare" : "main");
    ++this->requests;
    auto placed = this->gateways[node]->placer.place(PlacementConstraints { route, this->pool, Footprint(), {}, {} });
    if (placed.outcome != PickOutcome::Picked) {
        return;
    }
    const auto &upstream = placed.run.upstream;
    auto isTarget = upstream.version.value() == this->target;
    Behaviour behaviour;
    auto count = ++this->running[upstream.id];
    if (isTarget) {
        ++this->exposed;
        this->lastExposedAt = now;
        behaviour = this->model(Situation { now - this->orderedAt, route.id, count, this->random.unit() });
    }
    auto isBad = isTarget && (behaviour.isFailure || behaviour.slowness > 2);
    auto spread = 0.6 + 0.8 * this->random.unit();
    auto latency = std::chrono::duration_cast<Duration>(spread * behaviour.slowness * this->commonSlowness * serviceTime);
    auto id = upstream.id;
    this->responses.emplace(now + latency, PendingResponse { node, id, std::move(placed.run), behaviour.isFailure, isBad });
}

void RolloutFleet::deliverResponses()
{
    while (!this->responses.empty() && this->responses.begin()->first <= this->fleet.clock.now()) {
        auto response = std::move(this->responses.begin()->second);
        this->responses.erase(this->responses.begin());
        --this->running[response.upstream];
        if (response.run.observation) {
            if (response.isFailure) {
                response.run.observation->recordFailure(false);
            } else {
                response.run.observation->recordEvent();
            }
        }
        if (response.isBadTarget && ++this->badResponses == badResponseLimit) {
            this->limitReachedAt = this->fleet.clock.now();
        }
    }
}

void RolloutFleet::run(Duration time)
{
    for (Duration elapsed(0); elapsed < time; elapsed += tick) {
        this->fleet.run(tick);
        this->deliverResponses();
        auto now = this->fleet.clock.now();
        for (std::size_t node = 0; node < this->fleet.size(); ++node) {
            auto &gateway = *this->gateways[node];
            if (!this->fleet.at(node).isUp) {
                continue;
            }
            if (now >= gateway.nextStepAt) {
                gateway.nextStepAt = this->fleet.at(node).rollouts->step();
                for (; !this->board.isDown && gateway.readReports < this->board.log.size(); ++gateway.readReports) {
                    this->fleet.at(node).rollouts->applyStatus(this->board.log[gateway.readReports]);
                }
            }
            gateway.dueRequests += 2 * this->random.unit() * this->requestsPerNodeAndSecond * std::chrono::duration<double>(tick).count();
            for (; gateway.dueRequests >= 1; gateway.dueRequests -= 1) {
                this->sendRequest(node);
            }
        }
    }
}

std::optional<RolloutState> RolloutFleet::finalState() const
{
    if (this->board.log.empty() || this->board.log.back().state == RolloutState::Running || this->board.log.back().order != RolloutOrderId(this->orderId)) {
        return std::nullopt;
    }
    return this->board.log.back().state;
}

std::optional<RolloutState> RolloutFleet::runToEnd()
{
    while (!this->finalState() && this->fleet.clock.now() < this->orderEndsAt) {
        this->run(milliseconds(100));
    }
    return this->finalState();
}

double RolloutFleet::excessExposure() const
{
    return static_cast<double>(this->exposed) - limits.share * static_cast<double>(this->requests) - limits.slack;
}

bool RolloutFleet::isRollbackInTime() const
{
    return this->limitReachedAt == TimePoint::max() || this->lastExposedAt <= this->limitReachedAt + limits.rollbackTime;
}

}
