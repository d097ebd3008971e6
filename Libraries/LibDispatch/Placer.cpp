#include <LibDispatch/Placer.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Lovageward {

namespace {

/** Maximum number of upstreams tried for one request in one pass, if the chosen ones can't be used. */
constexpr unsigned maximumChoices = 3;

}

Placer::Placer(const Clock &clock,
               RandomSource &random,
               UpstreamTable &table,
               UpstreamChooser &chooser,
               CreditSource &credits,
               LinkBudget &link,
               Counters &counters,
               const Logger &logger,
               RegionId ownRegion)
    : clock(clock)
    , table(table)
    , chooser(chooser)
    , credits(credits)
    , link(link)
    , logger(logger)
    , ownRegion(std::move(ownRegion))
    , breakers(random)
    , crossRegionPlacements(counters.counter("lovageward_placements_cross_region_total"))
    , creditWaits(counters.counter("lovageward_credit_waits_total"))
    , staleChoices(counters.counter("lovageward_stale_choices_total"))
    , breakersOpened(counters.counter("lovageward_breakers_opened_total"))
    , linkHolds(counters.counter("lovageward_link_holds_total"))
{
}

Placer::Attempt Placer::tryPlace(PlacementRequest request)
{
    Attempt attempt;
    if (this->applyCurrentRestrictions(request)) {
        this->linkHolds.add();
    }
    for (unsigned number = 0; number < maximumChoices; ++number) {
        auto choice = this->chooser.choose(request);
        if (!choice) {
            return attempt;
        }
        attempt.hasChosenUpstream = true;
        RunningPlacement work;
        auto placement = this->confirmChoice(*choice, request, work);
        if (placement) {
            this->chooser.recordStart(placement->id, choice->upstream, request);
            this->placements.emplace(placement->id, work);
            attempt.placement = std::move(placement);
            return attempt;
        }
        request.excluded.push_back(choice->upstream);
    }
    return attempt;
}

void Placer::recordProgress(PlacementId id, TokenCount produced)
{
    auto found = this->placements.find(id);
    if (found == this->placements.end()) {
        return;
    }
    auto &work = found->second;
    if (work.isProbe && work.produced == TokenCount(0) && produced > TokenCount(0)) {
        this->breakers.recordProbeResponse(work.upstream);
    }
    work.produced = std::max(work.produced, produced);
    this->chooser.recordProgress(id, produced);
}

std::optional<TokenCount> Placer::release(PlacementId id, PlacementOutcome outcome)
{
    auto found = this->placements.find(id);
    if (found == this->placements.end()) {
        return std::nullopt;
    }
    auto work = found->second;
    this->placements.erase(found);
    this->chooser.recordEnd(id, work.produced, outcome == PlacementOutcome::Completed);
    if (work.usesCredit) {
        this->credits.release(work.upstream);
    }
    if (outcome == PlacementOutcome::ConnectionFailed) {
        this->table.markSuspect(work.upstream);
    }
    if (this->breakers.recordEnd(work.upstream, outcome, work.isProbe, this->clock.now())) {
        this->breakersOpened.add();
        this->logger.warning("Opened the circuit breaker of upstream {} after repeated failures; it gets no new work until a probe is due.",
                             work.upstream.value());
    }
    return work.produced;
}

std::vector<UpstreamId> Placer::usableUpstreams(const PlacementRequest &request) const
{
    std::vector<UpstreamId> usable;
    for (const auto &state : this->usableStates(request)) {
        usable.push_back(state.id);
    }
    return usable;
}

std::optional<UpstreamId> Placer::chooseReservation(PlacementRequest request, const std::optional<UpstreamId> &present) const
{
    this->applyCurrentRestrictions(request);
    std::optional<UpstreamId> best;
    auto leastLoad = std::numeric_limits<double>::max();
    for (const auto &state : this->usableStates(request)) {
        if (state.id == present) {
            return present;
        }
        auto blocks = static_cast<double>(std::max<std::uint64_t>(1, state.report.kvBlocksTotal.value()));
        auto load = static_cast<double>(state.report.kvBlocksUsed.value()) / blocks;
        // A cold upstream has a low load but little capacity, so it is chosen last.
        load += state.report.phase == UpstreamPhase::Cold ? 1 : 0;
        if (load < leastLoad) {
            leastLoad = load;
            best = state.id;
        }
    }
    return best;
}

bool Placer::applyCurrentRestrictions(PlacementRequest &request) const
{
    this->breakers.appendBlockedUpstreams(this->clock.now(), request.excluded);
    if (request.isOwnRegionOnly || !this->link.isExhausted()) {
        return false;
    }
    request.isOwnRegionOnly = true;
    return true;
}

std::vector<UpstreamState> Placer::usableStates(const PlacementRequest &request) const
{
    std::vector<UpstreamState> usable;
    for (const auto &pool : request.pools) {
        for (auto &state : this->table.upstreamsOf(pool)) {
            auto isExcluded = std::find(request.excluded.begin(), request.excluded.end(), state.id) != request.excluded.end();
            auto isReachable = !request.isOwnRegionOnly || state.region == this->ownRegion;
            if (state.report.phase != UpstreamPhase::Leaving && isReachable && !isExcluded) {
                usable.push_back(std::move(state));
            }
        }
    }
    return usable;
}

std::optional<Placement> Placer::confirmChoice(const UpstreamChoice &choice, const PlacementRequest &request, RunningPlacement &work)
{
    // The chooser may use an older copy of the table; a later drain or connection failure takes precedence.
    auto state = this->table.find(choice.upstream);
    if (!state || state->report.phase == UpstreamPhase::Leaving) {
        this->staleChoices.add();
        return std::nullopt;
    }
    work.upstream = choice.upstream;
    auto isCrossRegion = state->region != this->ownRegion;
    if (isCrossRegion && request.isOwnRegionOnly) {
        this->staleChoices.add();
        return std::nullopt;
    }
    work.usesCredit = choice.needsCredit || state->report.phase == UpstreamPhase::Cold;
    if (work.usesCredit && !this->credits.tryAcquire(choice.upstream)) {
        this->creditWaits.add();
        return std::nullopt;
    }
    work.isProbe = this->breakers.recordStart(choice.upstream);
    if (isCrossRegion) {
        this->crossRegionPlacements.add();
    }
    ++this->lastPlacementId;
    return Placement { .id = PlacementId(this->lastPlacementId), .upstream = choice.upstream, .address = state->address, .isCrossRegion = isCrossRegion };
}

}
