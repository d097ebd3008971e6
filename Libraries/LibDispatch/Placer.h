#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibDispatch/CircuitBreakers.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/LinkBudget.h>
#include <LibPolicy/CreditSource.h>
#include <LibPolicy/UpstreamChooser.h>
#include <LibPolicy/UpstreamTable.h>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/**
 * Places requests on upstreams: lets the chooser select an upstream, validates the choice against the upstream table and takes
 * credits for cold upstreams. Reports the end of each placement to the chooser, the credits, the breakers and the table.
 * Not thread-safe: its owner serialises the calls.
 */
class Placer
{
public:
    struct Attempt
    {
        std::optional<Placement> placement;
        /** True if an upstream was chosen, even if it can't take the request yet, for example because no credit is available. */
        bool hasChosenUpstream = false;
    };

    Placer(const Clock &clock,
           RandomSource &random,
           UpstreamTable &table,
           UpstreamChooser &chooser,
           CreditSource &credits,
           LinkBudget &link,
           Counters &counters,
           const Logger &logger,
           RegionId ownRegion);

    /** Places the request if an upstream can take it immediately. */
    Attempt tryPlace(PlacementRequest request);

    /** Records the total number of tokens that the generation has produced so far. Unknown placements are ignored. */
    void recordProgress(PlacementId id, TokenCount produced);

    /** Ends a placement. Returns the number of tokens that it produced; empty if the placement is unknown. */
    std::optional<TokenCount> release(PlacementId id, PlacementOutcome outcome);

    /** Returns the upstreams that may serve the request, regardless of their free capacity. */
    std::vector<UpstreamId> usableUpstreams(const PlacementRequest &request) const;

    /** Chooses the upstream to reserve for the request: the present one while it is usable, otherwise the one with the least load. */
    std::optional<UpstreamId> chooseReservation(PlacementRequest request, const std::optional<UpstreamId> &present) const;

    std::uint64_t tableVersion() const
    {
        return this->table.version();
    }

    std::size_t runningCount() const
    {
        return this->placements.size();
    }

private:
    /**
     * Excludes upstreams with an open breaker and, if the link budget is exhausted, other regions. Returns true if the request is
     * restricted to its own region by the link budget.
     */
    bool applyCurrentRestrictions(PlacementRequest &request) const;
    std::vector<UpstreamState> usableStates(const PlacementRequest &request) const;

    struct RunningPlacement
    {
        UpstreamId upstream;
        TokenCount produced;
        bool usesCredit = false;
        bool isProbe = false;
    };

    /** Validates the choice against the upstream table and takes a credit if one is needed. Empty if the upstream can't be used. */
    std::optional<Placement> confirmChoice(const UpstreamChoice &choice, const PlacementRequest &request, RunningPlacement &work);

    const Clock &clock;
    UpstreamTable &table;
    UpstreamChooser &chooser;
    CreditSource &credits;
    LinkBudget &link;
    const Logger &logger;
    RegionId ownRegion;
    CircuitBreakers breakers;
    std::unordered_map<PlacementId, RunningPlacement> placements;
    std::uint64_t lastPlacementId = 0;
    Counter &crossRegionPlacements;
    Counter &creditWaits;
    Counter &staleChoices;
    Counter &breakersOpened;
    Counter &linkHolds;
};

}
