#include <policy/Cost.h>

#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibPolicy/ForecastChooser.h>

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

namespace Lovageward::Bench {

namespace {

constexpr std::size_t decisions = 20000;
constexpr std::size_t regions = 8;
constexpr std::size_t placementsPerUpstream = 2;

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

UpstreamId upstreamName(std::size_t number)
{
    return UpstreamId("upstream-" + std::to_string(number));
}

void fillTable(UpstreamTable &table, std::size_t count, TimePoint now)
{
    for (std::size_t number = 0; number < count; ++number) {
        UpstreamState state;
        state.id = upstreamName(number);
        state.pool = PoolId("pool");
        state.region = RegionId("region-" + std::to_string(number % regions));
        state.failureDomain = FailureDomainId("domain-" + std::to_string(number % 21));
        state.address = "192.0.2.1:8000";
        table.setUpstream(state);
        LoadReport report;
        report.phase = UpstreamPhase::Warm;
        report.running = 40;
        // A third of the upstreams is full, so that decisions include rejected candidates.
        report.kvBlocksUsed = BlockCount(number % 3 == 0 ? 11900 : 6000);
        report.kvBlocksTotal = BlockCount(12000);
        report.measuredAt = now;
        table.applyReport(state.id, report);
    }
}

PlacementRequest makeRequest(std::size_t number, TimePoint now)
{
    PlacementRequest request;
    request.team = TeamId("team-" + std::to_string(number % 10));
    request.workClass = WorkClassId("class-" + std::to_string(number % 4));
    request.pools = { PoolId("pool") };
    request.promptTokens = TokenCount(500);
    request.prefixHash = 1 + number % 97;
    request.arrivedAt = now;
    return request;
}

std::string measureDecisionCost(std::size_t upstreams)
{
    ManualClock clock;
    clock.advance(seconds(100));
    SeededRandom random(1);
    auto before = heapInUse();
    UpstreamTable table(clock, seconds(5));
    fillTable(table, upstreams, clock.now());
    ForecastSettings settings;
    settings.ownRegion = RegionId("region-0");
    settings.nodeCount = 8;
    ForecastChooser chooser(clock, random, table, settings);
    for (std::size_t number = 0; number < upstreams * placementsPerUpstream; ++number) {
        chooser.recordStart(PlacementId(number + 1), upstreamName(number % upstreams), makeRequest(number, clock.now()));
    }
    auto perUpstream = (heapInUse() - before) / upstreams;
    std::vector<double> times;
    for (std::size_t number = 0; number < decisions; ++number) {
        auto request = makeRequest(number, clock.now());
        auto begin = std::chrono::steady_clock::now();
        auto choice = chooser.choose(request);
        times.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
        if (choice) {
            // Requests start and end, so that the length distributions are recomputed during the measurement.
            chooser.recordStart(PlacementId(1'000'000 + number), choice->upstream, request);
            chooser.recordEnd(PlacementId(1'000'000 + number), TokenCount(200 + number % 300), true);
        }
    }
    std::ranges::sort(times);
    return fmt::format("{:>9} {:>8.2f} {:>8.2f} {:>12}\n", upstreams, times[decisions / 2], times[decisions * 99 / 100], perUpstream);
}

std::string measureGroupCost()
{
    constexpr std::size_t classes = 20;
    constexpr std::size_t teams = 320;
    auto before = heapInUse();
    auto model = std::make_unique<LengthModel>();
    for (std::size_t workClass = 0; workClass < classes; ++workClass) {
        for (std::size_t team = 0; team < teams; ++team) {
            model->groupIndex(WorkClassId("class-" + std::to_string(workClass)), TeamId("team-" + std::to_string(team)));
        }
    }
    auto bytes = heapInUse() - before;
    return fmt::format("length model: {} bytes per pair of class and team that is in use\n", bytes / (classes * teams));
}

}

std::string measureCosts()
{
    std::string text = "decision of ForecastChooser, microseconds; heap bytes per upstream with table, forecast and 2 placements\n";
    text += "upstreams      p50      p99 bytes/upstream\n";
    for (std::size_t upstreams : { 15U, 150U, 1500U, 4000U }) {
        text += measureDecisionCost(upstreams);
    }
    return text + measureGroupCost();
}

}
