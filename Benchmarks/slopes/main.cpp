// Slopes of the configuration: bytes, time and memory per change, team and class. The other roles have benches of their own.

#include <LibConfig/ConfigStore.h>
#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibLog/InMemoryLogService.h>

#include <fmt/format.h>

#include <ctime>
#include <malloc.h>

using namespace Lovageward;

namespace {

class SilentSink final : public LogSink
{
public:
    void write(LogLevel /*level*/, const std::string & /*line*/) override
    {
    }
};

/** CPU time of this process in microseconds. */
double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heapKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

void row(const std::string &name, double value, const std::string &unit)
{
    fmt::print("{:<58} {:>12.2f} {}\n", name, value, unit);
}

/** A store with the log that feeds it; the trail keeps as many decisions as a node does. */
struct Bench
{
    SystemClock clock;
    SeededRandom random { 1 };
    SilentSink sink;
    Counters counters;
    InMemoryLogService log { clock, minutes(60) };
    AuditTrail trail { 20'000 };
    ConfigStore store { clock, random, sink, counters, log, trail };
    std::vector<LogRecord> records;

    void publish(EntityKind kind, const std::string &id, Offset basedOn, const std::string &value)
    {
        ChangeRequest request;
        request.recordId = this->store.newRecordId();
        request.actor = "operator#bench";
        request.key = EntityKey { kind, id };
        request.basedOn = basedOn;
        request.value = value;
        this->store.publish(request, this->clock.now() + seconds(5));
    }

    /** Reads everything that was published since the last call. */
    std::size_t fetch()
    {
        this->records.clear();
        Offset next = this->store.nextOffset();
        std::size_t bytes = 0;
        while (true) {
            auto result = this->log.read(configStream, next, 1000, TimePoint());
            if (result.records.empty()) {
                return bytes;
            }
            for (const auto &record : result.records) {
                bytes += record.payload.size();
                this->records.push_back(record);
            }
            next = Offset(result.records.back().offset.value() + 1);
        }
    }

    void apply()
    {
        for (const auto &record : this->records) {
            this->store.applyRecord(record);
        }
        this->store.noticeEnd(this->store.appliedOffset());
    }
};

std::string teamValue(int number)
{
    return fmt::format(R"({{"keyHashes":["{0:064x}","{1:064x}"],"maximumConcurrent":64,"share":1}})", number, number + 1'000'000);
}

/** Publishes changes, then measures reading and applying them. */
void measure(Bench &bench, const std::string &name, int count, const std::function<void(int)> &publish)
{
    for (int number = 0; number < count; ++number) {
        publish(number);
    }
    auto bytes = bench.fetch();
    auto heap = heapKilobytes();
    auto start = cpuMicroseconds();
    bench.apply();
    auto perItem = static_cast<double>(count);
    row(name + ": record on the log", static_cast<double>(bytes) / perItem, "bytes");
    row(name + ": CPU to apply", (cpuMicroseconds() - start) / perItem, "us");
    row(name + ": memory with its audit entry", (heapKilobytes() - heap) / perItem, "KB");
}

}

int main()
{
    constexpr int teams = 320;
    constexpr int classes = 320;
    constexpr int changesPerDay = 4500;
    Bench bench;
    measure(bench, "model", 5, [&](int number) { bench.publish(EntityKind::Model, fmt::format("model-{}", number), Offset(), R"({"version":"1"})"); });
    measure(bench, "team", teams, [&](int number) { bench.publish(EntityKind::Team, fmt::format("team-{}", number), Offset(), teamValue(number)); });
    measure(bench, "class", classes, [&](int number) {
        auto value = fmt::format(R"({{"kind":"generation","model":"model-{}","targetTimeMs":30000}})", number % 5);
        bench.publish(EntityKind::WorkClass, fmt::format("class-{}", number), Offset(), value);
    });
    measure(bench, "change", changesPerDay, [&](int number) {
        auto id = fmt::format("team-{}", number % teams);
        auto current = bench.store.entity(EntityKey { EntityKind::Team, id });
        // Of the changes to one team in this batch only the first is based on the current version; the others are conflicts.
        bench.publish(EntityKind::Team, id, current->version, teamValue(number));
    });
    auto checkpoint = bench.store.checkpoint();
    auto encoded = encodeRecord(ConfigRecord { *checkpoint });
    row(fmt::format("checkpoint with {} teams and {} classes", teams, classes), static_cast<double>(encoded.size()) / 1024, "KB");
    constexpr int lookups = 200'000;
    auto start = cpuMicroseconds();
    std::size_t found = 0;
    for (int number = 0; number < lookups; ++number) {
        found += bench.store.workClass(WorkClassId(fmt::format("class-{}", number % classes))) ? 1 : 0;
    }
    row("lookup of a class per request", (cpuMicroseconds() - start) / lookups, "us");
    start = cpuMicroseconds();
    constexpr int keyLookups = 20'000;
    for (int number = 0; number < keyLookups; ++number) {
        found += bench.store.teamByKey("some-bearer-key") ? 1 : 0;
    }
    row("lookup of a team by its key per request", (cpuMicroseconds() - start) / keyLookups, "us");
    return found == lookups ? 0 : 1;
}
