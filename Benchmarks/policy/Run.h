#pragma once

#include <policy/Arrivals.h>
#include <policy/Case.h>
#include <policy/FakeEngine.h>
#include <policy/FakeNode.h>
#include <policy/Measures.h>

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace Lovageward::Bench {

/** Simulates one policy in one case with fake engines. */
class Run final : public EngineListener
{
public:
    /** `capacity` is the result of computeCapacity, in requests per second. */
    Run(const Case &setup, const std::string &policy, double capacity);
    ~Run() override;

    Measures execute();

private:
    struct Event
    {
        Micros at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    /** An engine and its latest reports, of which the nodes receive the oldest. */
    struct SimulatedEngine
    {
        UpstreamId id;
        std::unique_ptr<FakeEngine> engine;
        std::deque<LoadReport> reports;
        std::uint32_t credits = 0;
    };

    void handleProgress(std::uint32_t number, std::uint32_t tokens, Micros at) override;
    void handleStall(std::uint32_t number, Micros gap, Micros at) override;
    void handleEnd(std::uint32_t number, std::uint32_t tokens, Micros at) override;

    void schedule(Micros at, std::function<void()> action);
    void addEngines();
    void scheduleDisturbance();
    void scheduleNextArrival();
    void handleArrival(std::uint32_t number);
    void pollEngine(std::size_t engine);
    void sampleMemory(const LoadReport &report);
    void dispatch(std::uint32_t nodeNumber);
    void dispatchClass(FakeNode &node, std::uint32_t workClass);
    bool tryPlace(FakeNode &node, std::uint32_t number);
    bool trySubmit(FakeNode &node, std::uint32_t number, const PlacementRequest &placementRequest, const UpstreamChoice &choice);
    void expireRequest(std::uint32_t number);
    void releasePlacement(Request &request, bool isComplete);
    void setDomainDrained(bool isDrained);
    void crashEngine(std::size_t engine, bool isRestarted);
    void runUntil(Micros end);
    void advanceTo(Micros at);
    std::size_t selectEngineToCrash() const;
    Measures evaluate() const;
    bool hasMetTarget(const Request &request) const;
    double completedInTimePerSecond(Micros from, Micros to) const;
    double fairness() const;

    Case setup;
    const Deployment &deployment;
    const Timetable timetable;
    ManualClock clock;
    Micros now = 0;
    std::vector<Arrival> arrivals;
    std::deque<Request> requests;
    std::vector<SimulatedEngine> engines;
    std::vector<std::unique_ptr<FakeNode>> nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    std::uint64_t nextPlacement = 1;
    Micros stallTime = 0;
    double blastRadius = 0;
    double blocksUsed = 0;
    double blocksTotal = 0;
    /** Nodes whose queues are dispatched after the current event. */
    std::set<std::uint32_t> pendingNodes;
};

}
