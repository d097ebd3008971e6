#pragma once

#include <LibConfig/Configuration.h>
#include <LibCore/Error.h>
#include <LibCore/Logger.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/FairQueue.h>
#include <LibDispatch/OverloadEstimator.h>
#include <LibDispatch/Placer.h>
#include <LibDispatch/RetryBudget.h>
#include <LibDispatch/TeamLimiter.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Lovageward {

/**
 * The decisions of the dispatcher without threads: admission, queue order, placement, refusal. Driven by calls; whatever was
 * decided is fetched with `takeDecisions`. Not thread-safe: its owner serialises the calls.
 */
class DispatchCore
{
public:
    /** The end of a ticket: a placement or a refusal. */
    struct Decision
    {
        TicketId ticket;
        std::variant<Placement, Error> result;
    };

    DispatchCore(DispatchSettings settings,
                 const Clock &clock,
                 RandomSource &random,
                 const Configuration &configuration,
                 Placer &placer,
                 Counters &counters,
                 const Logger &logger);

    /** Admits a request. The decision may be there at once. Throws the Error of Dispatcher::acquire if it is refused on arrival. */
    TicketId submit(const WorkItem &item);

    /** Refuses expired requests and places waiting ones. Call it periodically while requests wait. */
    void step();

    /** Decisions since the last call. Each ticket appears exactly once. */
    std::vector<Decision> takeDecisions();

    /** Refuses a waiting request whose caller is gone. Requests that aren't waiting are ignored. */
    void cancel(const RequestId &request);

    void progress(PlacementId id, TokenCount produced);
    void release(PlacementId id, PlacementOutcome outcome);

    /** From now on refuses new work. Admitted requests are still placed, so that a shutdown drops none. */
    void stop();

    /** While isolated, refuses new and waiting requests: the node can't know of drains and must start nothing. */
    void setIsolated(bool newIsIsolated);

    /** Earliest queue deadline of the waiting requests. */
    std::optional<TimePoint> nextDeadline() const;

    std::size_t waiting() const;
    std::size_t running() const;

private:
    struct Waiting
    {
        QueueEntry entry;
        RequestId request;
        ModelId model;
        PoolId pool;
        PlacementRequest placement;
        /** Configuration that `placement.pools` comes from. */
        Offset resolvedAt;
    };

    struct Running
    {
        ResourceId resource;
        TeamId team;
        WorkClassId workClass;
        double charged = 0;
    };

    struct ResourceState
    {
        OverloadEstimator estimator;
        /** True if the last pass left requests waiting; then the time and the table version at that pass. */
        bool isBlocked = false;
        TimePoint blockedAt;
        std::uint64_t blockedVersion = 0;
        /** Set while the table has no upstream for the resource. */
        std::optional<TimePoint> withoutUpstreamSince;
        TimePoint upstreamsCheckedAt;
    };

    enum class Offer {
        Placed,
        Blocked,
        /** Blocked, and nothing else may overtake it. */
        Held,
    };

    void checkAcceptsWork();
    Waiting describe(const WorkItem &item, const Team &team) const;
    std::vector<PoolId> poolsOf(const ModelId &model, const PoolId &pool) const;
    void checkQueue(const Waiting &waiting);
    void checkBudgets(const WorkItem &item, const Team &team);
    void enqueue(Waiting waiting);

    void pass(const ResourceId &resource);
    bool placeOne(const ResourceId &resource);
    Offer offer(TicketId ticket, bool isFirst);
    void place(Waiting &waiting, Placement placement);
    void refreshPools(Waiting &waiting) const;
    bool isPassDue(const ResourceState &state) const;
    void checkUpstreams(const ResourceId &resource, ResourceState &state);
    void updateWaiting(const ResourceId &resource);

    void refuse(TicketId ticket, ResultCode code, const std::string &message, Duration retryAfter);
    Error refusal(ResultCode code, const std::string &message, Duration retryAfter);
    Waiting takeOut(TicketId ticket);

    DispatchSettings settings;
    const Clock &clock;
    RandomSource &random;
    const Configuration &configuration;
    Placer &placer;
    Counters &counters;
    const Logger &logger;
    FairQueue queue;
    TeamLimiter limiter;
    RetryBudget retries;
    std::unordered_map<TicketId, Waiting> waitingWork;
    std::multimap<RequestId, TicketId> ticketsByRequest;
    std::unordered_map<PlacementId, Running> runningWork;
    std::map<ResourceId, ResourceState> resources;
    std::vector<Decision> decisions;
    std::uint64_t lastTicket = 0;
    bool isStopping = false;
    bool isIsolated = false;
    Counter &placements;
    Counter &retriesAdmitted;
    Counter &queueLength;
    Counter &runningCount;
};

}
