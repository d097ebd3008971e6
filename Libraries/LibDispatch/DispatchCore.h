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
#include <LibDispatch/WorkResolver.h>

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

    /** Refuses a waiting request whose caller is gone. What isn't waiting any more is ignored. */
    void cancel(TicketId ticket);
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
        TimePoint upstreamsCheckedAt = TimePoint::min();
    };

    enum class Offer {
        Placed,
        /** The chooser has no upstream with room. */
        NoRoom,
        /** An upstream has room but can't be used yet, for example for want of a credit. */
        NotYet,
    };

    void refuseExpired();
    void checkAcceptsWork();
    void shortenHopeless(WaitingWork &work) const;
    void checkQueue(const QueueEntry &entry);
    void checkBudgets(const WaitingWork &work, bool isRetry);
    void enqueue(WaitingWork work);
    void placeArrival(const QueueEntry &entry);

    void pass(const ResourceId &resource);
    bool placeOne(const ResourceId &resource);
    Offer offer(TicketId ticket, const std::vector<UpstreamId> &reserved);
    /**
     * The upstream that an aged request waits for, which others may not use. Without it, short work takes each bit of room before
     * there is enough for a long request.
     */
    std::vector<UpstreamId> reservedFor(const QueueEntry &entry);
    void place(const QueueEntry &entry, Placement placement);
    bool isPassDue(const ResourceState &state) const;
    void checkUpstreams(const ResourceId &resource, ResourceState &state);
    void updateWaiting(const ResourceId &resource);

    void refuse(TicketId ticket, ResultCode code, const std::string &message, Duration retryAfter);
    Error refusal(ResultCode code, const std::string &message, Duration retryAfter);
    WaitingWork takeOut(TicketId ticket);

    DispatchSettings settings;
    const Clock &clock;
    RandomSource &random;
    Placer &placer;
    Counters &counters;
    const Logger &logger;
    WorkResolver resolver;
    FairQueue queue;
    TeamLimiter limiter;
    RetryBudget retries;
    std::unordered_map<TicketId, WaitingWork> waitingWork;
    std::multimap<RequestId, TicketId> ticketsByRequest;
    std::unordered_map<PlacementId, Running> runningWork;
    std::map<ResourceId, ResourceState> resources;
    std::vector<Decision> decisions;
    std::uint64_t lastTicket = 0;
    bool isStopping = false;
    bool isIsolated = false;
    Counter &placements;
    Counter &retriesAdmitted;
    Counter &withdrawn;
    Counter &queueLength;
    Counter &runningCount;
};

}
