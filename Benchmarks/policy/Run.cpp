#include <policy/Run.h>

#include <algorithm>

namespace Lovageward::Bench {

namespace {

constexpr Micros pollInterval = oneSecond;
/** Upstream owners, each of which polls its engines at a different time and sends the reports in one digest. */
constexpr std::size_t pollerCount = 4;
/** Time from the measurement on the engine until the first node applies the digest. Each further node adds `digestDelayPerNode`. */
constexpr Micros digestDelay = oneSecond / 5;
constexpr Micros digestDelayPerNode = oneSecond / 40;
/** Polls by which late reports lag. Their time of measurement doesn't show the lag. */
constexpr std::size_t lateReportPolls = 5;
/** Time from the crash of an engine until it is removed from the host list. */
constexpr Micros hostListDelay = 3 * oneSecond;
/** Time between two nodes that apply the change of a drain. */
constexpr Micros drainDelayPerNode = oneSecond / 4;
/** Upstreams that are tried for a request per dispatch. */
constexpr int placementAttempts = 4;
/** Number of team queues whose first request may fail to be placed before the class waits for the next event. */
constexpr int maximumFailedHeads = 3;
constexpr std::uint32_t burstTeam = 5;
constexpr double burstFactor = 10;
/** Time for which an engine that refused a request is excluded for it. */
constexpr Micros refusalExclusionTime = oneSecond;

}

Run::Run(const Case &setup, const std::string &policy, double capacity) : setup(setup), deployment(*setup.deployment), timetable(setup.timetable)
{
    TeamBurst burst;
    if (setup.disturbance == Disturbance::TeamBurst) {
        burst = { .team = burstTeam, .factor = burstFactor, .from = this->timetable.disturbAt, .to = this->timetable.restoreAt };
    }
    this->arrivals = makeArrivals(this->deployment, capacity * setup.load, this->timetable.end, burst, setup.seed);
    for (std::uint32_t number = 0; number < this->deployment.nodes.size(); ++number) {
        this->nodes.push_back(std::make_unique<FakeNode>(this->deployment, policy, number, setup.seed, this->clock));
    }
    this->addEngines();
    this->scheduleDisturbance();
    this->scheduleNextArrival();
}

Run::~Run() = default;

void Run::addEngines()
{
    for (const auto &place : this->deployment.engines) {
        if (this->setup.disturbance == Disturbance::DomainMissing && place.failureDomain == this->deployment.drainedDomain) {
            continue;
        }
        UpstreamState state;
        state.id = UpstreamId(place.name);
        state.pool = place.profile.pool;
        state.region = place.region;
        state.failureDomain = place.failureDomain;
        for (auto &node : this->nodes) {
            node->table.setUpstream(state);
        }
        auto number = this->engines.size();
        this->engines.push_back({ .id = state.id, .engine = std::make_unique<FakeEngine>(place.profile, *this), .reports = {} });
        auto offset = static_cast<Micros>(number % pollerCount) * pollInterval / static_cast<Micros>(pollerCount);
        this->schedule(offset, [this, number] { this->pollEngine(number); });
    }
}

void Run::scheduleDisturbance()
{
    const auto &times = this->timetable;
    this->schedule(times.measureFrom, [this] {
        for (auto &simulated : this->engines) {
            simulated.engine->startMeasuring();
        }
    });
    this->schedule(times.measureTo, [this] {
        for (auto &simulated : this->engines) {
            simulated.engine->stopMeasuring();
        }
    });
    switch (this->setup.disturbance) {
    case Disturbance::DomainDrained:
        this->schedule(times.disturbAt, [this] { this->setDomainDrained(true); });
        this->schedule(times.restoreAt, [this] { this->setDomainDrained(false); });
        break;
    case Disturbance::EngineKilled:
        this->schedule(times.disturbAt, [this] { this->crashEngine(this->selectEngineToCrash(), false); });
        break;
    case Disturbance::EngineCold:
        this->schedule(times.disturbAt, [this] { this->crashEngine(this->selectEngineToCrash(), true); });
        break;
    default:
        break;
    }
}

std::size_t Run::selectEngineToCrash() const
{
    // An engine of the measured pool, selected by the seed.
    std::vector<std::size_t> ofPool;
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
        if (this->engines[number].engine->report(0).kvBlocksTotal.value() > 0) {
            ofPool.push_back(number);
        }
    }
    return ofPool[this->setup.seed % ofPool.size()];
}

void Run::schedule(Micros at, std::function<void()> action)
{
    this->events.push({ at, this->nextOrder++, std::move(action) });
}

void Run::scheduleNextArrival()
{
    auto number = static_cast<std::uint32_t>(this->requests.size());
    if (number < this->arrivals.size()) {
        this->schedule(this->arrivals[number].at, [this, number] { this->handleArrival(number); });
    }
}

void Run::handleArrival(std::uint32_t number)
{
    const auto &arrival = this->arrivals[number];
    this->requests.emplace_back();
    auto &request = this->requests.back();
    request.arrival = arrival;
    request.placementRequest = this->nodes[arrival.node]->placementRequest(arrival);
    this->scheduleNextArrival();
    if (!this->nodes[arrival.node]->enqueue(number, arrival, false)) {
        request.state = Request::State::Refused;
        return;
    }
    this->schedule(arrival.at + this->deployment.classes[arrival.workClass].firstTokenTimeout, [this, number] { this->expireRequest(number); });
    this->pendingNodes.insert(arrival.node);
}

void Run::expireRequest(std::uint32_t number)
{
    auto &request = this->requests[number];
    if (request.state == Request::State::Queued) {
        this->nodes[request.arrival.node]->remove(number, request.arrival);
        request.state = Request::State::Refused;
    } else if (request.state == Request::State::Placed && request.produced == 0) {
        this->engines[request.engine].engine->cancel(number);
        this->releasePlacement(request, false);
        request.state = Request::State::Refused;
    }
}

void Run::pollEngine(std::size_t number)
{
    auto &simulated = this->engines[number];
    this->schedule(this->now + pollInterval, [this, number] { this->pollEngine(number); });
    if (!simulated.engine->isAlive()) {
        return;
    }
    simulated.reports.push_back(simulated.engine->report(this->now));
    auto kept = this->setup.disturbance == Disturbance::ReportsLate ? lateReportPolls : 0;
    if (simulated.reports.size() > kept + 1) {
        simulated.reports.pop_front();
    }
    this->sampleMemory(simulated.reports.back());
    auto report = simulated.reports.front();
    report.measuredAt = TimePoint(Duration(this->now));
    for (std::uint32_t node = 0; node < this->nodes.size(); ++node) {
        this->schedule(this->now + digestDelay + node * digestDelayPerNode, [this, node, number, report] {
            this->nodes[node]->table.applyReport(this->engines[number].id, report);
            this->pendingNodes.insert(node);
        });
    }
}

void Run::sampleMemory(const LoadReport &report)
{
    if (this->now >= this->timetable.measureFrom && this->now < this->timetable.measureTo) {
        this->blocksUsed += static_cast<double>(report.kvBlocksUsed.value());
        this->blocksTotal += static_cast<double>(report.kvBlocksTotal.value());
    }
}

void Run::dispatch(std::uint32_t nodeNumber)
{
    auto &node = *this->nodes[nodeNumber];
    for (auto workClass : node.classesByPriority()) {
        this->dispatchClass(node, workClass);
    }
}

void Run::dispatchClass(FakeNode &node, std::uint32_t workClass)
{
    for (auto hasPlaced = true; hasPlaced;) {
        hasPlaced = false;
        auto failures = 0;
        for (auto number : node.queueHeads(workClass)) {
            // A request that can't be placed doesn't block the other teams, whose answers may be shorter and fit.
            auto isPlaced = this->tryPlace(node, number);
            hasPlaced = hasPlaced || isPlaced;
            failures += isPlaced ? 0 : 1;
            if (failures == maximumFailedHeads) {
                break;
            }
        }
    }
}

bool Run::tryPlace(FakeNode &node, std::uint32_t number)
{
    auto placementRequest = this->requests[number].placementRequest;
    for (int attempt = 0; attempt < placementAttempts; ++attempt) {
        auto choice = node.chooser->choose(placementRequest);
        if (!choice) {
            return false;
        }
        if (this->trySubmit(node, number, placementRequest, *choice)) {
            return true;
        }
        placementRequest.excluded.push_back(choice->upstream);
    }
    return false;
}

bool Run::trySubmit(FakeNode &node, std::uint32_t number, const PlacementRequest &placementRequest, const UpstreamChoice &choice)
{
    auto found = std::ranges::find(this->engines, choice.upstream, &SimulatedEngine::id);
    auto &engine = *found->engine;
    auto &request = this->requests[number];
    const auto &arrival = request.arrival;
    if (choice.needsCredit && found->credits >= engine.concurrencyLimit(this->now)) {
        return false;
    }
    EngineRequest engineRequest { .id = number,
                                  .priority = this->deployment.classes[arrival.workClass].priority,
                                  .promptTokens = arrival.promptTokens,
                                  .outputTokens = arrival.outputTokens,
                                  .prefixId = arrival.prefixId,
                                  .prefixTokens = arrival.prefixTokens };
    node.remove(number, arrival);
    request.state = Request::State::Placed;
    request.engine = static_cast<std::uint32_t>(found - this->engines.begin());
    if (!engine.submit(engineRequest, this->now)) {
        request.state = Request::State::Queued;
        node.enqueue(number, arrival, true);
        if (!engine.isAlive()) {
            node.table.markSuspect(choice.upstream);
            return false;
        }
        // The engine refused the request and is excluded for a while, so that other engines are tried.
        request.placementRequest.excluded.push_back(choice.upstream);
        this->schedule(this->now + refusalExclusionTime, [this, number] { this->requests[number].placementRequest.excluded.clear(); });
        return false;
    }
    request.usesCredit = choice.needsCredit;
    found->credits += choice.needsCredit ? 1 : 0;
    request.placement = PlacementId(this->nextPlacement++);
    node.chooser->recordStart(request.placement, choice.upstream, placementRequest);
    return true;
}

void Run::releasePlacement(Request &request, bool isComplete)
{
    auto &simulated = this->engines[request.engine];
    simulated.credits -= request.usesCredit ? 1 : 0;
    request.usesCredit = false;
    this->nodes[request.arrival.node]->chooser->recordEnd(request.placement, TokenCount(request.produced), isComplete);
    this->pendingNodes.insert(request.arrival.node);
}

void Run::handleProgress(std::uint32_t number, std::uint32_t tokens, Micros at)
{
    auto &request = this->requests[number];
    if (request.produced == 0) {
        request.firstTokenAt = at;
    }
    auto &node = *this->nodes[request.arrival.node];
    request.produced = tokens;
    node.chooser->recordProgress(request.placement, TokenCount(tokens));
}

void Run::handleStall(std::uint32_t number, Micros gap, Micros at)
{
    auto &request = this->requests[number];
    request.longestGap = std::max(request.longestGap, gap);
    if (at >= this->timetable.measureFrom && at < this->timetable.measureTo) {
        this->stallTime += gap - FakeEngine::stallThreshold;
    }
}

void Run::handleEnd(std::uint32_t number, std::uint32_t tokens, Micros at)
{
    auto &request = this->requests[number];
    request.produced = tokens;
    request.state = Request::State::Done;
    request.endedAt = at;
    this->releasePlacement(request, true);
}

void Run::setDomainDrained(bool isDrained)
{
    std::set<FailureDomainId> drained;
    if (isDrained) {
        drained.insert(this->deployment.drainedDomain);
    }
    for (std::uint32_t node = 0; node < this->nodes.size(); ++node) {
        this->schedule(this->now + node * drainDelayPerNode, [this, node, drained] {
            this->nodes[node]->table.setDrainedDomains(drained);
            this->pendingNodes.insert(node);
        });
    }
    for (std::size_t number = 0; number < this->engines.size() && !isDrained; ++number) {
        if (this->deployment.engines[number].failureDomain == this->deployment.drainedDomain) {
            this->engines[number].engine->resetToCold(this->now);
        }
    }
}

void Run::crashEngine(std::size_t number, bool isRestarted)
{
    auto &simulated = this->engines[number];
    std::set<std::uint32_t> teams;
    for (auto lostRequest : simulated.engine->crash(this->now, isRestarted)) {
        auto &request = this->requests[lostRequest];
        teams.insert(request.arrival.team);
        this->nodes[request.arrival.node]->table.markSuspect(simulated.id);
        this->releasePlacement(request, false);
        // Before the first token the request is queued again. After it the answer is incomplete.
        request.state = request.produced == 0 ? Request::State::Queued : Request::State::Lost;
        if (request.produced == 0) {
            this->nodes[request.arrival.node]->enqueue(lostRequest, request.arrival, true);
        }
    }
    simulated.reports.clear();
    this->blastRadius = static_cast<double>(teams.size()) / static_cast<double>(this->deployment.teamShares.size());
    if (!isRestarted) {
        this->schedule(this->now + hostListDelay, [this, number] {
            for (auto &node : this->nodes) {
                node->table.removeUpstream(this->engines[number].id);
            }
        });
    }
}

Measures Run::execute()
{
    this->runUntil(this->timetable.end);
    return this->evaluate();
}

void Run::advanceTo(Micros at)
{
    this->clock.advance(Duration(at - this->now));
    this->now = at;
}

void Run::runUntil(Micros end)
{
    for (;;) {
        auto earliest = std::ranges::min_element(this->engines, {}, [](const SimulatedEngine &simulated) { return simulated.engine->nextStepAt(); });
        auto stepAt = earliest->engine->nextStepAt();
        auto eventAt = this->events.empty() ? FakeEngine::never : this->events.top().at;
        auto at = std::min(stepAt, eventAt);
        if (at >= end) {
            return;
        }
        this->advanceTo(at);
        if (eventAt <= stepAt) {
            auto action = this->events.top().action;
            this->events.pop();
            action();
        } else {
            earliest->engine->step(this->now);
        }
        while (!this->pendingNodes.empty()) {
            auto node = *this->pendingNodes.begin();
            this->pendingNodes.erase(this->pendingNodes.begin());
            this->dispatch(node);
        }
    }
}

}
