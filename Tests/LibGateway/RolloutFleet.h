#pragma once

#include "SimulatedFleet.h"

#include <functional>

namespace Lovageward {

/** In-memory topic of reports that can be unavailable. */
class FakeBoard final : public StatusBoard
{
public:
    StatusBoardEntry readNewest(const PoolId &pool, TimePoint deadline) override;
    StatusWriteResult writeAt(const RolloutStatus &status, std::uint64_t end, TimePoint deadline) override;

    bool isDown = false;
    /** Writes are executed, but their responses are lost. */
    bool losesResponses = false;
    std::vector<RolloutStatus> log;

private:
    void throwIfDown() const;
};

/** All topics were read. */
class CompleteSync final : public RecordSync
{
public:
    bool hasUpstreams() const override
    {
        return true;
    }
    bool hasOrders() const override
    {
        return true;
    }
    bool hasReports() const override
    {
        return this->areReportsRead;
    }

    bool areReportsRead = true;
};

/** How an upstream of the target version treats one request. */
struct Behaviour
{
    bool isFailure = false;
    double slowness = 1;
};

/** State on which the behaviour depends. */
struct Situation
{
    Duration sinceOrder;
    RouteId route;
    /** Requests at the upstream, this one included. */
    int running = 0;
    double draw = 0;
};

using VersionModel = std::function<Behaviour(const Situation &)>;

/**
 * A simulated fleet whose nodes forward requests on two routes, "main" with 90% and "rare" with 10%, to a pool of plain services: an old and a new one for
 * each node. Records what the target version received.
 */
class RolloutFleet
{
public:
    static constexpr Duration orderTime = seconds(40);
    static const RolloutLimits limits;

    RolloutFleet(std::size_t nodes, std::size_t domains, VersionModel model, double requestsPerNodeAndSecond = 20);

    /** All nodes read an order of the version. */
    void order(const std::string &version, std::uint64_t id, Duration time = orderTime, StoreEra era = {});
    void run(Duration time);
    void restart(std::size_t node);
    /** Simulates until the store has a final report of the order, at most until the end of its time. */
    std::optional<RolloutState> runToEnd();
    std::optional<RolloutState> finalState() const;

    /** Requests to the target version that exceed the specified bound. */
    double excessExposure() const;
    /** True if no request was sent later after the 50th bad response than specified. */
    bool isRollbackInTime() const;

    FakeBoard board;
    CompleteSync sync;
    VersionModel model;
    SimulatedFleet fleet;
    /** Factor on all latencies, for bursts. */
    double commonSlowness = 1;
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    std::uint64_t badResponses = 0;
    TimePoint orderedAt;
    TimePoint lastExposedAt;
    TimePoint limitReachedAt = TimePoint::max();

private:
    /** The objects of a node that place requests. */
    struct Gateway
    {
        Gateway(RolloutFleet &owner, std::size_t node);

        UpstreamHealth health;
        UpstreamRefusals refusals;
        UpstreamRateLimiter rateLimiter;
        UpstreamPicker picker;
        RequestPlacer placer;
        TimePoint nextStepAt;
        std::size_t readReports = 0;
        double dueRequests = 0;
    };

    struct PendingResponse
    {
        std::size_t node = 0;
        UpstreamId upstream;
        PlacedRun run;
        bool isFailure = false;
        bool isBadTarget = false;
    };

    void sendRequest(std::size_t node);
    void deliverResponses();
    void addUpstreams(std::size_t node);

    double requestsPerNodeAndSecond;
    SeededRandom random { 5 };
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::multimap<TimePoint, PendingResponse> responses;
    std::map<UpstreamId, int> running;
    std::string target;
    std::uint64_t orderId = 0;
    TimePoint orderEndsAt;
    UpstreamPool pool;
};

}
