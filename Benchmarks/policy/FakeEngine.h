#pragma once

#include <policy/Deployment.h>
#include <policy/GapHistogram.h>

#include <LibPolicy/UpstreamState.h>

#include <deque>
#include <list>
#include <vector>

namespace Lovageward::Bench {

/** A request as submitted to an engine. */
struct EngineRequest
{
    std::uint32_t id = 0;
    int priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefixId = 0;
    std::uint32_t prefixTokens = 0;
};

/** Receives the events of the requests on an engine. */
class EngineListener
{
public:
    virtual ~EngineListener() = default;

    /** Called for the first token and then every 16 tokens. */
    virtual void handleProgress(std::uint32_t request, std::uint32_t tokens, Micros now) = 0;

    /** Called for a gap between two tokens of a request that exceeds `FakeEngine::stallThreshold`. */
    virtual void handleStall(std::uint32_t request, Micros gap, Micros now) = 0;

    /** Called when a request has produced all of its tokens. */
    virtual void handleEnd(std::uint32_t request, std::uint32_t tokens, Micros now) = 0;
};

/**
 * Simulates an engine for placement decisions: continuous batching, KV memory in blocks, preemption with recomputation, step
 * times that grow with the batch, chunked prefill, a prefix cache and a cold phase. Uses neither network nor real time.
 */
class FakeEngine
{
public:
    static constexpr Micros never = INT64_MAX;
    /** Gap between two tokens above which it counts as a stall. */
    static constexpr Micros stallThreshold = oneSecond / 4;

    FakeEngine(const EngineProfile &profile, EngineListener &listener);

    /** Submits a request. Returns false if the engine is down or at its concurrency limit. */
    bool submit(const EngineRequest &request, Micros now);

    /** Removes a request, whether it runs or waits. */
    void cancel(std::uint32_t request);

    /** Time at which the running step ends; `never` while idle. */
    Micros nextStepAt() const;

    /** Ends the running step and starts the next one. */
    void step(Micros now);

    LoadReport report(Micros now) const;

    /**
     * Crashes the engine, which loses all requests and its memory. Returns the lost requests. A restarted engine is cold and has a
     * new boot id; otherwise the engine stays down.
     */
    std::vector<std::uint32_t> crash(Micros now, bool isRestarted);

    /** Makes the engine cold without losing requests, as after a long idle time. */
    void resetToCold(Micros now);

    bool isAlive() const;
    /** Maximum number of concurrent requests: zero while down, limited while cold. */
    std::uint32_t concurrencyLimit(Micros now) const;
    std::size_t requestCount() const;

    /** Starts to count gaps and preemptions. */
    void startMeasuring();
    void stopMeasuring();
    const GapHistogram &gaps() const;
    std::uint64_t preemptions() const;

private:
    struct Sequence
    {
        EngineRequest request;
        std::uint64_t order = 0;
        std::uint32_t produced = 0;
        std::uint32_t prefillLeft = 0;
        std::uint32_t blocks = 0;
        bool isEmitting = false;
        bool isPreempted = false;
        Micros lastTokenAt = 0;
    };

    void beginStep(Micros now);
    void completeStep(Micros now);
    void emit(Sequence &sequence, Micros now);
    void recordGap(const Sequence &sequence, Micros now);
    void growSequences();
    bool preemptSequence();
    void admitWaiting();
    std::uint32_t prefill();
    void enqueue(Sequence sequence);
    std::uint32_t blocksFor(const Sequence &sequence) const;
    std::uint32_t uncachedPrompt(const EngineRequest &request);
    bool hasMemory() const;

    EngineProfile profile;
    EngineListener &listener;
    std::vector<Sequence> running;
    std::list<Sequence> waiting;
    std::deque<std::uint64_t> prefixCache;
    std::uint32_t freeBlocks;
    std::uint64_t nextOrder = 1;
    Micros stepEnd = never;
    Micros coldUntil = 0;
    std::uint32_t completedWhileCold = 0;
    std::uint32_t coldLimit = 0;
    std::uint32_t bootNumber = 1;
    bool isUp = true;
    bool hasPreempted = false;
    bool isMeasuring = false;
    std::uint64_t preemptionCount = 0;
    GapHistogram gapHistogram;
    /** Most gaps of a step are equal, so equal gaps are added to the histogram together. */
    Micros pendingGap = 0;
    std::uint64_t pendingGaps = 0;
};

}
