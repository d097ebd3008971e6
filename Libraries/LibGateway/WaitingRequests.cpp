#include <LibGateway/WaitingRequests.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Lovageward {

namespace {

/** Interval between two placement attempts of the request whose turn it is. */
constexpr Duration attemptInterval = milliseconds(15);

/** Interval at which a blocked request checks its own deadlines; it is woken when its turn comes. */
constexpr Duration blockedCheckInterval = milliseconds(100);

/** The order changes with time only slowly, so it is recomputed at most this often unless requests come or go. */
constexpr Duration orderInterval = milliseconds(10);

/**
 * One of this many placements is given to requests that are late, so that they don't starve while others can be in time. A larger share would make as
 * many more requests late.
 */
constexpr std::uint32_t lateTurn = 8;

/** Time after which a route without requests no longer counts as traffic to yield to. */
constexpr Duration demandValidity = seconds(30);

/** A pause between placements that is longer than this says nothing about the rate at which capacity becomes free. */
constexpr Duration longestPlacementInterval = seconds(5);

/** Weight of a new interval between placements in the mean. */
constexpr int intervalWeightDivisor = 4;

double neededCapacity(const RequestTiming &request, const RunForecast &forecast)
{
    return request.footprint.peakTokens(0) * std::chrono::duration<double>(forecast.completion).count();
}

}

WaitingRequests::WaitingRequests(const Clock &clock, RandomSource &random, Counters &counters) : clock(clock), random(random), counters(counters)
{
}

WaitId WaitingRequests::add(const WaitingRequest &request, WaitSignal &signal)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto id = WaitId(++this->lastId);
    auto &list = this->lists[request.pool];
    auto [demand, isNew] = list.demands.try_emplace(request.route);
    demand->second.latest = request.timing;
    demand->second.seenAt = now;
    if (isNew) {
        demand->second.forecast = forecastRun(EngineState { UpstreamLoad(), FallbackTokenTime().tokenTime(), 0 }, request.timing.footprint);
    }
    Entry entry;
    entry.request = request;
    entry.signal = &signal;
    entry.addedAt = now;
    list.entries.emplace(id, std::move(entry));
    this->pools.emplace(id, request.pool);
    this->heldBytes += request.heldBytes;
    this->order(list, now);
    this->updateGauges();
    return id;
}

WaitStep WaitingRequests::next(WaitId id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto &list = this->listOf(id);
    if (now - list.orderedAt >= orderInterval) {
        this->order(list, now);
    }
    auto &entry = list.entries.at(id);
    const auto &timing = entry.request.timing;
    const auto *urgent = this->findUrgent(list, timing, now);
    auto wait = this->predictWait(list, entry.position, now);
    auto decision = this->policy.decide(now, timing, list.demands.at(entry.request.route).forecast, wait, urgent != nullptr);
    WaitStep step;
    step.predictedWait = this->predictWait(list, list.entries.size(), now);
    step.reason = decision.reason;
    if (decision.action == StartAction::Reject) {
        step.action = WaitStep::Action::Reject;
        step.retryAfter = list.retrySlots.assign(now, now + step.predictedWait, list.placementInterval, timing.deadline, this->random);
    } else if (entry.isBlocked) {
        this->markHeld(entry);
        step.checkAt = std::min(now + blockedCheckInterval, decision.times.latestUseful + Duration(1));
    } else {
        step.action = WaitStep::Action::Attempt;
        step.checkAt = now + attemptInterval;
        if (decision.action == StartAction::Hold) {
            step.following = StartTimePolicy::following(urgent->latest);
        }
    }
    return step;
}

void WaitingRequests::recordAttempt(WaitId id, const PlacementResult &result)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &list = this->listOf(id);
    auto &entry = list.entries.at(id);
    if (result.forecast) {
        list.demands.at(entry.request.route).forecast = *result.forecast;
    }
    if (result.outcome != PickOutcome::Picked) {
        this->markHeld(entry);
    }
}

void WaitingRequests::markHeld(Entry &entry) const
{
    if (!std::exchange(entry.hasWaited, true)) {
        this->counters.counter("lovageward_wait_held_total").add();
    }
}

void WaitingRequests::remove(WaitId id, bool isPlaced)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    auto &list = this->listOf(id);
    auto found = list.entries.find(id);
    if (isPlaced) {
        this->recordPlacement(list, found->second, now);
    }
    this->heldBytes -= found->second.request.heldBytes;
    list.entries.erase(found);
    this->pools.erase(id);
    this->order(list, now);
    this->updateGauges();
}

std::size_t WaitingRequests::count() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->pools.size();
}

WaitingRequests::PoolList &WaitingRequests::listOf(WaitId id)
{
    return this->lists.at(this->pools.at(id));
}

void WaitingRequests::order(PoolList &list, TimePoint now)
{
    list.orderedAt = now;
    list.order.clear();
    for (auto &[id, entry] : list.entries) {
        entry.times = this->policy.startTimes(entry.request.timing, list.demands.at(entry.request.route).forecast);
        entry.isInTime = now <= entry.times.latestInTime;
        entry.rank = this->rankOf(list, entry, now);
        entry.rank.id = id;
        list.order.push_back(id);
    }
    std::sort(list.order.begin(), list.order.end(), [&](WaitId left, WaitId right) { return list.entries.at(left).rank < list.entries.at(right).rank; });
    std::set<std::vector<RegionId>> regionsAhead;
    std::set<std::vector<RegionId>> regionsAheadWithoutHold;
    std::size_t position = 0;
    for (auto id : list.order) {
        auto &entry = list.entries.at(id);
        entry.position = position++;
        const auto &regions = entry.request.allowedRegions;
        // A held request waits for the benefit of more urgent ones, so it must not block these.
        auto isMostUrgent = this->findUrgent(list, entry.request.timing, now) == nullptr;
        auto isHeld = entry.isInTime && !isMostUrgent;
        auto isBlocked = isMostUrgent ? regionsAheadWithoutHold.contains(regions) : regionsAhead.contains(regions);
        regionsAhead.insert(regions);
        if (!isHeld) {
            regionsAheadWithoutHold.insert(regions);
        }
        if (entry.isBlocked && !isBlocked) {
            entry.signal->notify();
        }
        entry.isBlocked = isBlocked;
    }
}

WaitingRequests::Rank WaitingRequests::rankOf(const PoolList &list, const Entry &entry, TimePoint now) const
{
    const auto &timing = entry.request.timing;
    auto isTurnOfLate = list.inTimeSinceLate + 1 >= lateTurn;
    auto ageingInterval = std::max<Duration>(timing.targetLatency, milliseconds(1));
    auto age = static_cast<std::uint32_t>(std::max<std::int64_t>(0, (now - timing.arrivedAt) / ageingInterval));
    Rank rank;
    rank.isBehind = entry.isInTime == isTurnOfLate;
    rank.priority = timing.priority - std::min(timing.priority, age);
    rank.shareLevel = std::max(0, list.shares.excessLevel(entry.request.team, now) - static_cast<int>(age));
    rank.latestStart = entry.times.latestInTime;
    if (!entry.isInTime && isTurnOfLate) {
        // Late requests of all priorities and teams share these turns in the order in which they became late.
        rank.priority = 0;
        rank.shareLevel = 0;
    }
    rank.work = neededCapacity(timing, list.demands.at(entry.request.route).forecast);
    return rank;
}

const WaitingRequests::RouteDemand *WaitingRequests::findUrgent(const PoolList &list, const RequestTiming &request, TimePoint now) const
{
    const RouteDemand *urgent = nullptr;
    for (const auto &[route, demand] : list.demands) {
        auto isRecent = now - demand.seenAt <= demandValidity;
        if (isRecent && StartTimePolicy::yieldsTo(request, demand.latest) && (!urgent || demand.latest.targetLatency < urgent->latest.targetLatency)) {
            urgent = &demand;
        }
    }
    return urgent;
}

Duration WaitingRequests::predictWait(const PoolList &list, std::size_t position, TimePoint now) const
{
    if (position == 0 || list.placementInterval == Duration(0)) {
        return Duration(0);
    }
    auto sinceLast = now - list.lastWaitedPlacementAt;
    if (sinceLast > longestPlacementInterval) {
        return Duration(0);
    }
    return std::max(list.placementInterval, sinceLast) * static_cast<Duration::rep>(position);
}

void WaitingRequests::recordPlacement(PoolList &list, const Entry &entry, TimePoint now) const
{
    const auto &timing = entry.request.timing;
    list.shares.add(entry.request.team, neededCapacity(timing, list.demands.at(entry.request.route).forecast), now);
    list.inTimeSinceLate = entry.isInTime ? std::min(list.inTimeSinceLate + 1, lateTurn) : 0;
    if (!entry.hasWaited) {
        return;
    }
    this->counters.counter("lovageward_wait_placed_total").add();
    auto interval = now - list.lastWaitedPlacementAt;
    if (interval > longestPlacementInterval) {
        list.placementInterval = Duration(0);
    } else if (list.placementInterval == Duration(0)) {
        list.placementInterval = std::max<Duration>(interval, Duration(1));
    } else {
        list.placementInterval = std::max<Duration>(list.placementInterval + (interval - list.placementInterval) / intervalWeightDivisor, Duration(1));
    }
    list.lastWaitedPlacementAt = now;
}

void WaitingRequests::updateGauges()
{
    this->counters.counter("lovageward_wait_requests").set(static_cast<std::int64_t>(this->pools.size()));
    this->counters.counter("lovageward_wait_bytes").set(static_cast<std::int64_t>(this->heldBytes));
}

}
