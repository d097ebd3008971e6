#include <LibGateway/WorkPlacer.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Far upstreams that one request looks at. Two choices balance nearly as well as all, without all nodes choosing the same. */
constexpr std::size_t farChoices = 2;

}

WorkPlacer::WorkPlacer(const Clock &clock,
                       const UpstreamRegistry &registry,
                       LoadBook &book,
                       const UpstreamHealth &health,
                       ColdLimiter &coldLimiter,
                       const UpstreamPicker &picker,
                       RandomSource &random,
                       std::size_t assumedNodes)
    : clock(clock), registry(registry), book(book), health(health), coldLimiter(coldLimiter), picker(picker), random(random), assumedNodes(assumedNodes)
{
}

PlacementResult WorkPlacer::place(const PlacementNeed &need)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    PlacementResult result;
    auto candidates = this->candidatesFor(need);
    result.candidates = candidates.size();
    while (true) {
        auto pick = this->picker.pick(candidates, need.pool, need.footprint);
        // An upstream that is only passed over because it is cold has room later.
        auto hasPassedCold = candidates.size() < result.candidates;
        result.outcome = pick.outcome == PickOutcome::NoUpstream && hasPassedCold ? PickOutcome::NoRoom : pick.outcome;
        if (pick.outcome != PickOutcome::Picked) {
            return result;
        }
        const auto &chosen = candidates[pick.position];
        auto isCold = need.pool.coldRequestsPerSecond > 0 && this->clock.now() < chosen.record.coldUntil;
        auto nodes = std::max(this->assumedNodes, this->book.livePeers() + 1);
        if (isCold && !this->coldLimiter.tryTake(chosen.record.id, need.pool.coldRequestsPerSecond, nodes)) {
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick.position));
            continue;
        }
        result.run.upstream = chosen.record;
        result.run.load = chosen.load;
        result.run.failureShare = chosen.failureShare;
        result.run.booking = std::make_unique<BookedRun>(this->book, chosen.record.id, need.footprint, true);
        return result;
    }
}

PlacementResult WorkPlacer::placeCopy(const PlacementNeed &need, const UpstreamRecord &runner, CopyPurpose purpose)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    PlacementResult result;
    auto candidates = this->candidatesFor(need);
    result.candidates = candidates.size();
    auto position = this->picker.pickForCopy(candidates, need.pool, need.footprint, runner, purpose);
    if (!position) {
        result.outcome = candidates.empty() ? PickOutcome::NoUpstream : PickOutcome::NoRoom;
        return result;
    }
    const auto &chosen = candidates[*position];
    result.outcome = PickOutcome::Picked;
    result.run.upstream = chosen.record;
    result.run.load = chosen.load;
    result.run.failureShare = chosen.failureShare;
    result.run.booking = std::make_unique<BookedRun>(this->book, chosen.record.id, need.footprint, false);
    return result;
}

PoolId WorkPlacer::choosePool(const Route &route, double draw)
{
    double total = 0;
    for (const auto &share : route.pools) {
        total += share.weight;
    }
    auto point = draw * total;
    for (const auto &share : route.pools) {
        if (point < share.weight) {
            return share.pool;
        }
        point -= share.weight;
    }
    return route.pools.empty() ? PoolId() : route.pools.back().pool;
}

void WorkPlacer::thinOutFar(std::vector<UpstreamRecord> &upstreams) const
{
    auto farBegin = std::partition(
        upstreams.begin(), upstreams.end(), [this](const UpstreamRecord &record) { return record.failureDomain == this->picker.place().failureDomain; });
    auto farCount = static_cast<std::size_t>(upstreams.end() - farBegin);
    for (std::size_t position = 0; position < std::min(farCount, farChoices); ++position) {
        auto drawn = position + this->random.below(farCount - position);
        std::swap(farBegin[static_cast<std::ptrdiff_t>(position)], farBegin[static_cast<std::ptrdiff_t>(drawn)]);
    }
    upstreams.erase(farBegin + static_cast<std::ptrdiff_t>(std::min(farCount, farChoices)), upstreams.end());
}

std::vector<Candidate> WorkPlacer::candidatesFor(const PlacementNeed &need) const
{
    std::vector<Candidate> candidates;
    auto upstreams = this->registry.usable(need.pool.id);
    if (this->book.livePeers() > LoadBook::fewPeers) {
        this->thinOutFar(upstreams);
    }
    for (auto &record : upstreams) {
        auto isExcluded = std::find(need.excluded.begin(), need.excluded.end(), record.id) != need.excluded.end();
        auto region = this->picker.place().regionOf(record.failureDomain);
        auto isAllowed = need.allowedRegions.empty() || std::find(need.allowedRegions.begin(), need.allowedRegions.end(), region) != need.allowedRegions.end();
        if (isExcluded || !isAllowed) {
            continue;
        }
        auto load = this->book.load(record.id);
        auto failureShare = this->health.failureShare(record.id);
        candidates.push_back(Candidate { std::move(record), load, failureShare });
    }
    return candidates;
}

}
