#pragma once

#include "ScriptedEngine.h"

#include <LibCore/SeededRandom.h>
#include <LibRelay/GenerationRelay.h>

namespace Lovageward {

/** Places requests on engines "a", "b", "c" … in turn and records how the placements end. */
class FakeDispatcher final : public Dispatcher
{
public:
    explicit FakeDispatcher(RelayScene &scene) : scene(scene)
    {
    }

    Placement acquire(const WorkItem &item) override
    {
        auto index = static_cast<unsigned>(item.excluded.size());
        if (index >= this->engineCount) {
            throw Error(ResultCode::NoCapacity, RunState::NotRun, "no capacity", seconds(3));
        }
        this->isRetry = item.isRetry;
        std::string name(1, static_cast<char>('a' + index));
        return { PlacementId(index + 1), UpstreamId(name), name, false };
    }

    void reportProgress(PlacementId /*id*/, TokenCount produced) override
    {
        this->progress = produced;
    }

    void release(PlacementId /*id*/, PlacementOutcome outcome) override
    {
        static const std::vector<std::string> names { "completed", "cancelled", "refused", "connection", "failed" };
        this->outcomes += (this->outcomes.empty() ? "" : " ") + names.at(static_cast<std::size_t>(outcome));
        this->scene.trace.push_back("release");
    }

    unsigned engineCount = 9;
    bool isRetry = false;
    TokenCount progress;
    std::string outcomes;

private:
    RelayScene &scene;
};

/** Writes down what the caller got: offsets, then how the answer ended. */
class RecordingSink final : public AnswerSink
{
public:
    explicit RecordingSink(RelayScene &scene) : scene(scene)
    {
    }

    bool token(const EngineEvent &event, const std::string &eventId) override
    {
        this->note(std::to_string(event.offset.value()));
        this->generations.push_back(event.generation);
        this->offsets.push_back(event.offset.value());
        this->lastEventId = eventId;
        return !this->failsWrites;
    }

    void complete() override
    {
        this->end("done");
    }

    void fail(const Error &error, const std::string &eventId) override
    {
        this->retryAfter = error.retryAfter();
        this->end(fmt::format("{}:{}:{}", eventId.empty() ? "error" : "incomplete", resultName(error.code()), runStateName(error.runState())));
    }

    void handOver(const Error & /*error*/, const std::string &eventId) override
    {
        this->lastEventId = eventId;
        this->end("resume" + eventId.substr(eventId.rfind('/')));
    }

    bool isCallerGone() override
    {
        return this->scene.isCallerGone;
    }

    std::string transcript;
    std::string lastEventId;
    std::vector<GenerationId> generations;
    std::vector<std::uint64_t> offsets;
    Duration retryAfter = Duration(0);
    int ends = 0;
    bool failsWrites = false;

private:
    void note(const std::string &text)
    {
        this->transcript += (this->transcript.empty() ? "" : " ") + text;
    }

    void end(const std::string &text)
    {
        this->note(text);
        ++this->ends;
        this->scene.trace.emplace_back("answer");
    }

    RelayScene &scene;
};

class ManualWaiter final : public Waiter
{
public:
    explicit ManualWaiter(ManualClock &clock) : clock(clock)
    {
    }

    void waitUntil(TimePoint time) override
    {
        this->clock.advance(std::max(time - this->clock.now(), Duration(0)));
    }

private:
    ManualClock &clock;
};

class NullSink final : public LogSink
{
public:
    void write(LogLevel /*level*/, const std::string & /*line*/) override
    {
    }
};

/** Notes what becomes of streams whose callers are gone. */
class RecordingHandover final : public StreamHandover
{
public:
    explicit RecordingHandover(RelayScene &scene) : scene(scene)
    {
    }

    HostId keeper() const override
    {
        return HostId("self");
    }

    void abandon(const GenerationTarget &target) override
    {
        this->scene.trace.push_back("abandon:" + target.address);
    }

    void takeOver(const HostId &keeperHost, const GenerationId & /*generation*/) override
    {
        this->scene.trace.push_back("takeover:" + keeperHost.value());
    }

private:
    RelayScene &scene;
};

/** A relay with scripted engines. */
struct RelayFixture
{
    explicit RelayFixture(const std::vector<std::string> &scripts, std::uint64_t seed = 1) : engine(scene, scripts), random(seed)
    {
        this->task.item.request = RequestId("request");
        this->task.item.team = TeamId("team");
        this->task.item.workClass = WorkClassId("class");
    }

    GenerationRelay relay()
    {
        RelayParts parts { this->scene.clock, this->random, this->log,      this->engine,  this->waiter,
                           this->scene.drain, this->codec,  this->counters, this->handover };
        return { parts, this->dispatcher, this->limits, minutes(10), this->sink };
    }

    RelayScene scene;
    ScriptedEngine engine;
    SeededRandom random;
    NullSink log;
    ManualWaiter waiter { this->scene.clock };
    ResumeTokenCodec codec { "0123456789abcdef" };
    Counters registry;
    RelayCounters counters { this->registry };
    FakeDispatcher dispatcher { this->scene };
    RecordingSink sink { this->scene };
    RecordingHandover handover { this->scene };
    RelayLimits limits;
    RelayTask task;
};

}
