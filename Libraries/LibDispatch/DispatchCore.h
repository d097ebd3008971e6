#pragma once

#include <LibConfig/Configuration.h>
#include <LibCore/Error.h>
#include <LibCore/Logger.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/FairQueue.h>
#include <LibDispatch/Placer.h>
#include <LibDispatch/QueueWaitEstimator.h>
#include <LibDispatch/RetryBudget.h>
#include <LibDispatch/TeamLimiter.h>
#include <LibDispatch/WorkResolver.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Lovageward {

/**
 * Single-threaded core of the dispatcher: admission, queue order, placement and refusal. Its calls produce decisions, which the
 * owner fetches with `takeDecisions`. Not thread-safe: its owner serialises the calls.
 */
class DispatchCore
{
public:
    /** Final result of a ticket: a placement or a refusal. */
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

    /** Admits a request, which may be placed immediately. Throws the errors of Dispatcher::acquire if the request is refused on arrival. */
    TicketId submit(const WorkItem &item);

    /** Refuses expired requests and places waiting ones. Must be called periodically while requests wait. */
    void processQueue();

    /** Returns the decisions made since the last call. Each ticket appears exactly once over all calls. */
    std::vector<Decision> takeDecisions();

    /** Refuses a waiting request whose caller is gone. Requests that no longer wait are ignored. */
    void cancel(TicketId ticket);
    void cancel(const RequestId &request);

    void recordProgress(PlacementId id, TokenCount produced);
    void release(PlacementId id, PlacementOutcome outcome);

    /** Refuses new requests from now on. Requests admitted earlier are still placed, so that a shutdown drops none of them. */
    void stopAcceptingWork();

    /** While isolated, refuses new and waiting requests, because the node doesn't learn of drains and must start no work. */
    void setIsolated(bool newIsIsolated);

    /** Earliest queue deadline of the waiting requests. */
    std::optional<TimePoint> nextDeadline() const;

    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    struct RunningPlacement
    {
        ResourceId resource;
        TeamId team;
        WorkClassId workClass;
        double chargedTokens = 0;
    };

    struct ResourceState
    {
        QueueWaitEstimator estimator;
        /** True if the last pass left requests waiting; `blockedAt` and `blockedTableVersion` then describe that pass. */
        bool isBlocked = false;
        TimePoint blockedAt;
        std::uint64_t blockedTableVersion = 0;
        /** Time since which the table has no usable upstream for the resource; unset while it has one. */
        std::optional<TimePoint> withoutUpstreamSince;
        TimePoint upstreamsCheckedAt = TimePoint::min();
    };

    enum class AttemptResult {
        Placed,
        /** The chooser found no upstream with free capacity. */
        NoCapacity,
        /** An upstream has free capacity but can't be used yet, for example because no credit is available. */
        Deferred,
    };

    void refuseExpired();
    void checkAcceptsWork();
    void shortenDeadlineWithoutUpstream(WaitingWork &work) const;
    void checkQueueLimits(const QueueEntry &entry);
    void consumeBudgets(const WaitingWork &work, bool isRetry);
    void enqueue(WaitingWork work);
    void tryPlaceArrival(const QueueEntry &entry);

    void placeWaiting(const ResourceId &resource);
    bool placeNext(const ResourceId &resource);
    AttemptResult tryPlace(TicketId ticket, const std::vector<UpstreamId> &reserved);
    /**
     * Reserves an upstream for a request that is past its due time and returns it; empty for other requests. Later requests may not
     * use that upstream: otherwise short requests would take up all freed capacity before there is enough of it for a long request.
     */
    std::vector<UpstreamId> reserveUpstreamFor(const QueueEntry &entry);
    void recordPlacement(const QueueEntry &entry, Placement placement);
    bool isPassDue(const ResourceState &state) const;
    void refuseWithoutUpstreams(const ResourceId &resource, ResourceState &state);
    void updateWaitingState(const ResourceId &resource);

    void refuse(TicketId ticket, ResultCode code, const std::string &message, Duration retryAfter);
    Error makeRefusal(ResultCode code, const std::string &message, Duration retryAfter);
    WaitingWork removeWaiting(TicketId ticket);

    DispatchSettings settings;
    const Clock &clock;
    RandomSource &random;
    Placer &placer;
    Counters &counters;
    const Logger &logger;
    WorkResolver resolver;
    FairQueue queue;
    TeamLimiter teamLimiter;
    RetryBudget retryBudget;
    std::unordered_map<TicketId, WaitingWork> waitingRequests;
    std::multimap<RequestId, TicketId> ticketsByRequest;
    std::unordered_map<PlacementId, RunningPlacement> runningPlacements;
    std::map<ResourceId, ResourceState> resources;
    std::vector<Decision> decisions;
    std::uint64_t lastTicket = 0;
    bool isStopping = false;
    bool isIsolated = false;
    Counter &placementCounter;
    Counter &retryCounter;
    Counter &withdrawnCounter;
    Counter &queueLengthCounter;
    Counter &runningPlacementCounter;
};

}
