#pragma once

#include <LibConfig/Configuration.h>
#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibDispatch/QueueingDispatcher.h>

#include <map>
#include <string>

namespace Lovageward {

/** Configuration with teams t0, t1, ... of a practically unlimited concurrency, the work classes "verdict" and "plan", and one pool. */
class BenchConfiguration final : public Configuration
{
public:
    Offset appliedOffset() const override
    {
        return Offset(1);
    }

    std::optional<Team> teamByKey(std::string_view) const override
    {
        return std::nullopt;
    }

    std::optional<Team> team(const TeamId &id) const override
    {
        Team team;
        team.id = id;
        team.maximumConcurrent = 1000000;
        return team;
    }

    std::optional<WorkClass> workClass(const WorkClassId &id) const override
    {
        WorkClass workClass;
        workClass.id = id;
        workClass.targetTime = id.value() == "verdict" ? seconds(2) : seconds(3600);
        return workClass;
    }

    std::vector<WorkClass> workClasses() const override
    {
        return {};
    }

    std::vector<Model> models() const override
    {
        return {};
    }

    std::optional<Pool> pool(const PoolId &) const override
    {
        return std::nullopt;
    }

    std::vector<Pool> pools() const override
    {
        Pool pool;
        pool.id = PoolId("engines");
        pool.models = { ModelId("writer") };
        return { pool };
    }

    bool isDrained(const FailureDomainId &) const override
    {
        return false;
    }
};

/** Chooses the only upstream while it has a free slot. Takes constant time, so that the benchmark measures the dispatcher and not the policy. */
class SlotChooser final : public UpstreamChooser
{
public:
    explicit SlotChooser(std::size_t slots) : slots(slots)
    {
    }

    std::optional<UpstreamChoice> choose(const PlacementRequest &) override
    {
        if (this->used == this->slots) {
            return std::nullopt;
        }
        return UpstreamChoice { .upstream = UpstreamId("upstream-0") };
    }

    void recordStart(PlacementId, const UpstreamId &, const PlacementRequest &) override
    {
        ++this->used;
    }

    void recordProgress(PlacementId, TokenCount) override
    {
    }

    void recordEnd(PlacementId, TokenCount, bool) override
    {
        --this->used;
    }

private:
    std::size_t slots;
    std::size_t used = 0;
};

class NoCredits final : public CreditSource
{
public:
    bool tryAcquire(const UpstreamId &) override
    {
        return false;
    }

    void release(const UpstreamId &) override
    {
    }
};

class DiscardingLogSink final : public LogSink
{
public:
    void write(LogLevel, const std::string &) override
    {
    }
};

/** Dependencies of a dispatcher, with one warm upstream of `slots` slots. */
struct BenchEnvironment
{
    explicit BenchEnvironment(std::size_t slots) : chooser(slots)
    {
        this->settings.ownRegion = RegionId("home");
        this->settings.flowLimit = 1000000;
        UpstreamState state;
        state.id = UpstreamId("upstream-0");
        state.pool = PoolId("engines");
        state.region = RegionId("home");
        state.address = "10.0.0.1:8000";
        this->table.setUpstream(state);
        LoadReport report;
        report.phase = UpstreamPhase::Warm;
        this->table.applyReport(state.id, report);
    }

    WorkItem makeItem(std::size_t number, std::size_t teams) const
    {
        WorkItem item;
        // Same length as the request ids that the system creates.
        item.request = RequestId("0123456789abcdef01234567" + std::to_string(10000000 + number));
        item.team = TeamId("t" + std::to_string(number % teams));
        item.workClass = WorkClassId(number % 2 == 0 ? "plan" : "verdict");
        item.model = ModelId("writer");
        item.arrivedAt = this->clock.now();
        item.queueDeadline = this->clock.now() + seconds(1000000);
        return item;
    }

    ManualClock clock;
    SeededRandom random { 1 };
    Counters counters;
    DiscardingLogSink sink;
    Logger logger { this->sink, "dispatch" };
    BenchConfiguration configuration;
    UpstreamTable table { this->clock, seconds(1000000) };
    SlotChooser chooser;
    NoCredits credits;
    LinkBudget link { this->clock, this->counters, 1e12, 0.1 };
    DispatchSettings settings;
    Placer placer { this->clock, this->random, this->table, this->chooser, this->credits, this->link, this->counters, this->logger, RegionId("home") };
};

}
