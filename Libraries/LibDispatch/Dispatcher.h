#pragma once

#include <LibConfig/Entities.h>
#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibPolicy/UpstreamChooser.h>

#include <functional>
#include <string>
#include <vector>

namespace Lovageward {

/** Properties of a request that admission, queueing and placement depend on. */
struct WorkItem
{
    RequestId request;
    TeamId team;
    WorkClassId workClass;
    CallKind kind = CallKind::Generation;
    /** Model for generations, pool for services. */
    ModelId model;
    PoolId pool;
    /** Stable hash of the prompt's prefix, for prefix affinity; 0 if unknown. */
    std::uint64_t prefixHash = 0;
    TokenCount promptTokens;
    TimePoint arrivedAt;
    /** Time by which the request must be placed; the queue refuses it afterwards. */
    TimePoint queueDeadline;
    bool isOwnRegionOnly = false;
    /** Upstreams that already failed for this request. */
    std::vector<UpstreamId> excluded;
    /** True for a second or later attempt; counts against the retry budget. */
    bool isRetry = false;
    /** Returns true if the caller is gone. The waiting thread calls it several times a second, so it must not block. May be empty. */
    std::function<bool()> isCallerGone;
};

/** An upstream chosen for a request. */
struct Placement
{
    PlacementId id;
    UpstreamId upstream;
    /** "IP:port". */
    std::string address;
    bool isCrossRegion = false;
};

enum class PlacementOutcome {
    Completed,
    /** The caller disconnected or the request was cancelled. */
    Cancelled,
    /** The upstream refused the request before starting it. */
    Refused,
    /** The connection failed or was lost; the upstream counts as cold until its next load report. */
    ConnectionFailed,
    /** The upstream sent an error or an incomplete response. */
    Failed,
};

/** Queues work, enforces limits and chooses upstreams. Called from many request threads. */
class Dispatcher
{
public:
    virtual ~Dispatcher() = default;

    /**
     * Places the request, waiting for capacity until the item's queue deadline.
     * Throws Error with RunState::NotRun: QueueFull, TeamLimitReached, NoCapacity, DeadlineExceeded, RetryBudgetExhausted,
     * ShuttingDown or NodeIsolated; refusals due to load carry retryAfter.
     */
    virtual Placement acquire(const WorkItem &item) = 0;

    /** Records the total number of tokens that the generation has produced so far. */
    virtual void reportProgress(PlacementId id, TokenCount produced) = 0;

    /** Ends the placement. Each placement must be released exactly once. */
    virtual void release(PlacementId id, PlacementOutcome outcome) = 0;

    /**
     * Withdraws a request whose caller is gone: its `acquire` throws Error(DeadlineExceeded, NotRun) at once. Has no effect on a
     * request that isn't waiting; if it was placed, the placement must still be released.
     */
    virtual void cancel(const RequestId &request)
    {
        static_cast<void>(request);
    }

    /**
     * Counts bytes that a placement with `isCrossRegion` transferred, in either direction. Returns the time before which the relay
     * should transfer no more bytes. The stream is only delayed, never cut.
     */
    virtual TimePoint accountCrossRegionBytes(ByteCount bytes)
    {
        static_cast<void>(bytes);
        return TimePoint();
    }
};

/** Releases a placement at the end of a scope; the outcome defaults to Failed until it is set. */
class PlacementGuard
{
public:
    PlacementGuard(Dispatcher &dispatcher, PlacementId id) : dispatcher(dispatcher), id(id)
    {
    }

    PlacementGuard(const PlacementGuard &) = delete;
    PlacementGuard &operator=(const PlacementGuard &) = delete;

    ~PlacementGuard()
    {
        this->dispatcher.release(this->id, this->outcome);
    }

    void setOutcome(PlacementOutcome newOutcome)
    {
        this->outcome = newOutcome;
    }

private:
    Dispatcher &dispatcher;
    PlacementId id;
    PlacementOutcome outcome = PlacementOutcome::Failed;
};

}
