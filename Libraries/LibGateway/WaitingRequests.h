#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibGateway/RequestPlacer.h>
#include <LibGateway/RetrySlots.h>
#include <LibGateway/StartTimePolicy.h>
#include <LibGateway/TeamShares.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace Lovageward {

/** Wakes the thread that waits with a request. */
class WaitSignal
{
public:
    virtual ~WaitSignal() = default;

    /** Called with the list's mutex held; must not block. */
    virtual void notify() = 0;
};

using WaitId = NumberId<struct WaitIdTag>;

/** A request that waits for capacity of a pool. */
struct WaitingRequest
{
    PoolId pool;
    RouteId route;
    TeamId team;
    RequestTiming timing;
    /** Requests with different regions don't block each other, because they may use different engines. */
    std::vector<RegionId> allowedRegions;
    /** Memory that the request holds while it waits. */
    std::size_t heldBytes = 0;
};

/** What the thread that waits with a request does next. */
struct WaitStep
{
    enum class Action {
        /** Try to place the request, under the condition if there is one. */
        Attempt,
        /** Wait until the signal or `checkAt`. */
        Wait,
        /** Reject the request, as not run. */
        Reject,
    };

    Action action = Action::Wait;
    std::optional<FollowingRequest> following;
    TimePoint checkAt;
    /** Predicted time until a request that arrives now would have its turn. */
    Duration predictedWait = Duration(0);
    /** With Action::Reject: Retry-After for the caller, and for the log the reason. */
    Duration retryAfter = Duration(0);
    const char *reason = "";
};

/**
 * The requests of this node that wait for capacity, in one ordered list per pool. In order: requests that can still be in time; a higher priority;
 * teams with a smaller share of the recent capacity; the earliest latest start; the least work. The first one of each set of regions, and the
 * first one that isn't held for others, try to be placed, the others wait, so that freed capacity isn't taken by the request that happens to try first. Nothing
 * starves: a request that can't be placed in time becomes late, every eighth placement is given to the one that became late first, and otherwise a late request
 * gains one priority class and one level of its team's share each time that its target latency passes. Load patterns: bursts of long generations beside short
 * urgent requests, one team with half of the traffic. Thread-safe. Lock order: its mutex, then that of Counters.
 */
class WaitingRequests
{
public:
    WaitingRequests(const Clock &clock, RandomSource &random, Counters &counters);

    /** Adds a request. The signal must stay valid until remove(). */
    WaitId add(const WaitingRequest &request, WaitSignal &signal);

    WaitStep next(WaitId id);

    /** Records that a placement was tried without success. */
    void recordAttempt(WaitId id, const PlacementResult &result);

    /** Removes a request that was placed, rejected, or whose caller has disconnected, and wakes those whose turn it is now. */
    void remove(WaitId id, bool isPlaced);

    /** Number of waiting requests. */
    std::size_t count() const;

private:
    /** Position in the order; smaller is first. */
    struct Rank
    {
        bool isBehind = false;
        std::uint32_t priority = 0;
        int shareLevel = 0;
        TimePoint latestStart;
        double work = 0;
        WaitId id;

        auto operator<=>(const Rank &) const = default;
    };

    struct Entry
    {
        WaitingRequest request;
        WaitSignal *signal = nullptr;
        TimePoint addedAt;
        StartTimes times;
        Rank rank;
        std::size_t position = 0;
        bool isInTime = true;
        bool isBlocked = true;
        /** It had to wait for its turn, or for room. */
        bool hasWaited = false;
    };

    /** Recent requests of one route. */
    struct RouteDemand
    {
        RequestTiming latest;
        TimePoint seenAt;
        RunForecast forecast;
    };

    struct PoolList
    {
        std::map<WaitId, Entry> entries;
        std::vector<WaitId> order;
        TimePoint orderedAt;
        std::map<RouteId, RouteDemand> demands;
        TeamShares shares;
        RetrySlots retrySlots;
        /** Mean time between placements of requests that had to wait; zero if unknown. */
        Duration placementInterval = Duration(0);
        TimePoint lastWaitedPlacementAt;
        std::uint32_t inTimeSinceLate = 0;
    };

    PoolList &listOf(WaitId id);
    void markHeld(Entry &entry) const;
    /** Recomputes the order and wakes requests that are no longer blocked. */
    void order(PoolList &list, TimePoint now);
    Rank rankOf(const PoolList &list, const Entry &entry, TimePoint now) const;
    /** The most urgent recent requests that `request` yields to; nullptr if there are none. */
    const RouteDemand *findUrgent(const PoolList &list, const RequestTiming &request, TimePoint now) const;
    Duration predictWait(const PoolList &list, std::size_t position, TimePoint now) const;
    void recordPlacement(PoolList &list, const Entry &entry, TimePoint now) const;
    void updateGauges();

    const Clock &clock;
    RandomSource &random;
    Counters &counters;
    StartTimePolicy policy;
    mutable std::mutex mutex;
    std::map<PoolId, PoolList> lists;
    std::map<WaitId, PoolId> pools;
    std::uint64_t lastId = 0;
    std::size_t heldBytes = 0;
};

/** A request in the list for its lifetime. */
class WaitingEntry
{
public:
    WaitingEntry(WaitingRequests &requests, const WaitingRequest &request, WaitSignal &signal) : requests(requests), id(requests.add(request, signal))
    {
    }

    WaitingEntry(const WaitingEntry &) = delete;
    WaitingEntry &operator=(const WaitingEntry &) = delete;

    ~WaitingEntry()
    {
        this->requests.remove(this->id, this->isPlaced);
    }

    WaitStep next()
    {
        return this->requests.next(this->id);
    }

    void recordAttempt(const PlacementResult &result)
    {
        this->isPlaced = result.outcome == PickOutcome::Picked;
        this->requests.recordAttempt(this->id, result);
    }

private:
    WaitingRequests &requests;
    WaitId id;
    bool isPlaced = false;
};

}
