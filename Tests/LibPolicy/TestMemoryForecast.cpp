#include <LibCore/SeededRandom.h>
#include <LibPolicy/LengthModel.h>
#include <LibPolicy/MemoryForecast.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

const TimePoint start(seconds(100));

MemoryProfile flat(double blocks)
{
    MemoryProfile profile;
    profile.mean.fill(blocks);
    return profile;
}

UpstreamBrief report(TimePoint at, std::uint64_t used, std::uint32_t waiting = 0)
{
    UpstreamBrief brief;
    brief.phase = UpstreamPhase::Warm;
    brief.hasReport = true;
    brief.running = 10;
    brief.waiting = waiting;
    brief.kvBlocksUsed = used;
    brief.kvBlocksTotal = 1000;
    brief.measuredAt = at;
    return brief;
}

/** Pieces of work of 50 blocks that one node places after a report. */
int admitted(MemoryForecast &forecast, const AdmissionBound &bound)
{
    int count = 0;
    for (; forecast.roomAfter(flat(50), bound) && count < 100; ++count) {
        forecast.change({}, flat(50), 1, start + seconds(1));
    }
    return count;
}

}

TEST_CASE("Own work that was sent since a report counts, so that a late report doesn't overfill an engine", "[policy]")
{
    MemoryForecast forecast;
    ReportLag lag;
    forecast.refresh(report(start, 500), {}, lag, 0);
    CHECK(admitted(forecast, { .deviations = 0 }) == 10);
    forecast.refresh(report(start + seconds(2), 1000), {}, lag, 0);
    CHECK(admitted(forecast, { .deviations = 0 }) == 0);
}

TEST_CASE("Eight nodes that see the same report use its room once", "[policy]")
{
    int total = 0;
    for (int node = 0; node < 8; ++node) {
        MemoryForecast forecast;
        ReportLag lag;
        forecast.refresh(report(start, 400), {}, lag, (node + 0.5) / 8);
        total += admitted(forecast, { .deviations = 0, .nodes = 8 });
    }
    CHECK(total >= 10);
    CHECK(total <= 14);
}

TEST_CASE("Own work before a report isn't counted twice", "[policy]")
{
    MemoryForecast forecast;
    ReportLag lag;
    forecast.change({}, flat(300), 1, start);
    forecast.refresh(report(start + seconds(1), 300), {}, lag, 0);
    CHECK(forecast.load(1) == Approx(0.3));
    forecast.change(flat(300), {}, -1, start + seconds(2));
    CHECK(forecast.load(1) == Approx(0).margin(1e-9));
}

TEST_CASE("Work that waits at the engine takes room before it holds memory", "[policy]")
{
    MemoryForecast forecast;
    ReportLag lag;
    forecast.refresh(report(start, 500, 10), {}, lag, 0);
    CHECK(admitted(forecast, { .deviations = 0 }) == 0);
}

TEST_CASE("Expected growth makes an engine full before its memory is", "[policy]")
{
    LengthModel model;
    auto group = model.group(WorkClassId("story"), TeamId("team"));
    for (int count = 0; count < 200; ++count) {
        model.started(group);
        model.finished(group, TokenCount(), TokenCount(4000), true);
    }
    auto young = MemoryProfile::of(model.curve(group), 160, 0, 16);
    CHECK(young.mean[0] == Approx(10.5));
    CHECK(young.mean[4] > 60);
    MemoryForecast forecast;
    ReportLag lag;
    for (int count = 0; count < 8; ++count) {
        forecast.change({}, young, 1, start);
    }
    forecast.refresh(report(start, 84), {}, lag, 0);
    CHECK_FALSE(forecast.roomAfter(young, {}));
}

TEST_CASE("A lag that reports don't admit is recognised, so that work sent meanwhile isn't forgotten", "[policy]")
{
    for (auto lagSteps : { 0, 2, 5 }) {
        SeededRandom random(3);
        ReportLag lag;
        std::vector<double> own(2000);
        for (auto &change : own) {
            change = random.unit() * 100 - 50;
        }
        for (std::size_t time = 10; time < own.size(); ++time) {
            // Seven other nodes change as much as this one each.
            double used = own[time - static_cast<std::size_t>(lagSteps)];
            for (int node = 0; node < 7; ++node) {
                used += random.unit() * 100 - 50;
            }
            ReportLag::OwnBlocks changes {};
            for (std::size_t index = 0; index < changes.size(); ++index) {
                changes[index] = own[time - index];
            }
            lag.observe(used, changes);
        }
        CHECK(lag.lag() == seconds(lagSteps));
    }
}
