#include <policy/FakeEngine.h>

#include <algorithm>

namespace Lovageward::Bench {

namespace {

constexpr std::uint32_t progressInterval = 16;
/** Admission leaves the blocks divided by this free, as real engines do, so that the batch can grow for a few steps. */
constexpr std::uint32_t watermarkDivisor = 100;

}

FakeEngine::FakeEngine(const EngineProfile &profile, EngineListener &listener)
    : profile(profile), listener(listener), freeBlocks(profile.blocks), coldLimit(profile.coldLimit)
{
}

bool FakeEngine::hasMemory() const
{
    return this->profile.blocks > 0;
}

bool FakeEngine::isAlive() const
{
    return this->isUp;
}

std::size_t FakeEngine::requestCount() const
{
    return this->running.size() + this->waiting.size();
}

std::uint32_t FakeEngine::concurrencyLimit(Micros now) const
{
    if (!this->isUp) {
        return 0;
    }
    return now < this->coldUntil ? this->coldLimit : UINT32_MAX;
}

bool FakeEngine::submit(const EngineRequest &request, Micros now)
{
    if (this->requestCount() >= this->concurrencyLimit(now)) {
        return false;
    }
    Sequence sequence;
    sequence.request = request;
    sequence.order = this->nextOrder++;
    this->enqueue(sequence);
    if (this->stepEnd == never) {
        this->beginStep(now);
    }
    return true;
}

void FakeEngine::enqueue(Sequence sequence)
{
    // Sorted by priority, then by age, so that preempted requests precede newer ones.
    auto place = std::ranges::find_if(this->waiting, [&sequence](const Sequence &other) {
        return other.request.priority < sequence.request.priority || (other.request.priority == sequence.request.priority && other.order > sequence.order);
    });
    this->waiting.insert(place, sequence);
}

void FakeEngine::cancel(std::uint32_t request)
{
    std::erase_if(this->waiting, [request](const Sequence &sequence) { return sequence.request.id == request; });
    auto found = std::ranges::find(this->running, request, [](const Sequence &sequence) { return sequence.request.id; });
    if (found != this->running.end()) {
        this->freeBlocks += found->blocks;
        this->running.erase(found);
    }
}

Micros FakeEngine::nextStepAt() const
{
    return this->stepEnd;
}

void FakeEngine::step(Micros now)
{
    this->completeStep(now);
    this->beginStep(now);
}

void FakeEngine::completeStep(Micros now)
{
    for (auto &sequence : this->running) {
        if (sequence.isEmitting) {
            this->emit(sequence, now);
        }
    }
    if (this->pendingGaps > 0) {
        this->gapHistogram.add(this->pendingGap, this->pendingGaps);
        this->pendingGaps = 0;
    }
    std::vector<Sequence> done;
    std::erase_if(this->running, [&](const Sequence &sequence) {
        if (sequence.produced < sequence.request.outputTokens) {
            return false;
        }
        this->freeBlocks += sequence.blocks;
        done.push_back(sequence);
        return true;
    });
    // `stepEnd` is still set, so that requests that the listener submits wait for the next step.
    for (const auto &sequence : done) {
        if (now < this->coldUntil && ++this->completedWhileCold >= this->coldLimit) {
            this->coldLimit *= 2;
            this->completedWhileCold = 0;
        }
        this->listener.handleEnd(sequence.request.id, sequence.produced, now);
    }
}

void FakeEngine::emit(Sequence &sequence, Micros now)
{
    this->recordGap(sequence, now);
    ++sequence.produced;
    sequence.lastTokenAt = now;
    if (sequence.produced == 1 || sequence.produced % progressInterval == 0) {
        this->listener.handleProgress(sequence.request.id, sequence.produced, now);
    }
}

void FakeEngine::recordGap(const Sequence &sequence, Micros now)
{
    if (sequence.produced == 0 || !this->hasMemory()) {
        return;
    }
    auto gap = now - sequence.lastTokenAt;
    if (gap > stallThreshold) {
        this->listener.handleStall(sequence.request.id, gap, now);
    }
    if (!this->isMeasuring) {
        return;
    }
    if (this->pendingGaps > 0 && this->pendingGap != gap) {
        this->gapHistogram.add(this->pendingGap, this->pendingGaps);
        this->pendingGaps = 0;
    }
    this->pendingGap = gap;
    ++this->pendingGaps;
}

void FakeEngine::beginStep(Micros now)
{
    this->hasPreempted = false;
    this->growSequences();
    if (!this->hasPreempted) {
        this->admitWaiting();
    }
    if (this->running.empty()) {
        this->stepEnd = never;
        return;
    }
    auto prefilled = this->prefill();
    const auto &cost = this->profile;
    auto time = cost.stepBaseMicros + cost.stepPerSequenceMicros * static_cast<double>(this->running.size())
        + cost.stepPerBlockMicros * (cost.blocks - this->freeBlocks) + cost.stepPerPrefillTokenMicros * prefilled;
    this->stepEnd = now + static_cast<Micros>(now < this->coldUntil ? time * cost.coldSlowdown : time);
}

std::uint32_t FakeEngine::blocksFor(const Sequence &sequence) const
{
    auto tokens = sequence.request.promptTokens + sequence.produced + 1;
    return (tokens + this->profile.tokensPerBlock - 1) / this->profile.tokensPerBlock;
}

void FakeEngine::growSequences()
{
    if (!this->hasMemory()) {
        return;
    }
    for (auto &sequence : this->running) {
        while (!sequence.isPreempted && sequence.prefillLeft == 0 && this->blocksFor(sequence) > sequence.blocks) {
            if (this->freeBlocks == 0 && !this->preemptSequence()) {
                break;
            }
            if (!sequence.isPreempted) {
                --this->freeBlocks;
                ++sequence.blocks;
            }
        }
    }
    if (!this->hasPreempted) {
        return;
    }
    for (auto &sequence : this->running) {
        if (sequence.isPreempted) {
            auto preempted = sequence;
            preempted.isPreempted = false;
            preempted.isEmitting = false;
            this->enqueue(preempted);
        }
    }
    std::erase_if(this->running, [](const Sequence &sequence) { return sequence.isPreempted; });
}

bool FakeEngine::preemptSequence()
{
    Sequence *victim = nullptr;
    for (auto &sequence : this->running) {
        if (sequence.isPreempted) {
            continue;
        }
        auto isLower = victim == nullptr || sequence.request.priority < victim->request.priority
            || (sequence.request.priority == victim->request.priority && sequence.order > victim->order);
        victim = isLower ? &sequence : victim;
    }
    if (victim == nullptr) {
        return false;
    }
    victim->isPreempted = true;
    this->freeBlocks += victim->blocks;
    victim->blocks = 0;
    this->hasPreempted = true;
    this->preemptionCount += this->isMeasuring ? 1 : 0;
    return true;
}

void FakeEngine::admitWaiting()
{
    while (!this->waiting.empty() && this->running.size() < this->profile.maximumBatchSize) {
        auto &next = this->waiting.front();
        auto blocks = this->hasMemory() ? this->blocksFor(next) : 0;
        if (this->hasMemory() && blocks + this->profile.blocks / watermarkDivisor > this->freeBlocks && !this->running.empty()) {
            return;
        }
        next.blocks = blocks;
        next.prefillLeft = this->uncachedPrompt(next.request) + next.produced;
        this->freeBlocks -= blocks;
        this->running.push_back(next);
        this->waiting.pop_front();
    }
}

std::uint32_t FakeEngine::uncachedPrompt(const EngineRequest &request)
{
    auto cached = std::ranges::find(this->prefixCache, request.prefixId);
    auto isHit = cached != this->prefixCache.end();
    if (isHit) {
        this->prefixCache.erase(cached);
    }
    this->prefixCache.push_front(request.prefixId);
    if (this->prefixCache.size() > this->profile.cachedPrefixes) {
        this->prefixCache.pop_back();
    }
    return isHit ? request.promptTokens - request.prefixTokens : request.promptTokens;
}

std::uint32_t FakeEngine::prefill()
{
    auto budget = this->profile.prefillChunk;
    for (auto &sequence : this->running) {
        auto tokens = std::min(budget, sequence.prefillLeft);
        sequence.prefillLeft -= tokens;
        budget -= tokens;
        sequence.isEmitting = sequence.prefillLeft == 0;
    }
    return this->profile.prefillChunk - budget;
}

LoadReport FakeEngine::report(Micros now) const
{
    LoadReport report;
    report.bootId = BootId(std::to_string(this->bootNumber));
    report.phase = now < this->coldUntil ? UpstreamPhase::Cold : UpstreamPhase::Warm;
    report.running = static_cast<std::uint32_t>(this->running.size());
    report.waiting = static_cast<std::uint32_t>(this->waiting.size());
    report.kvBlocksTotal = BlockCount(this->profile.blocks);
    report.kvBlocksUsed = BlockCount(this->profile.blocks - this->freeBlocks);
    report.coldLimit = this->coldLimit;
    return report;
}

std::vector<std::uint32_t> FakeEngine::crash(Micros now, bool isRestarted)
{
    std::vector<std::uint32_t> lost;
    for (const auto &sequence : this->running) {
        lost.push_back(sequence.request.id);
    }
    for (const auto &sequence : this->waiting) {
        lost.push_back(sequence.request.id);
    }
    this->running.clear();
    this->waiting.clear();
    this->prefixCache.clear();
    this->freeBlocks = this->profile.blocks;
    this->stepEnd = never;
    this->isUp = isRestarted;
    ++this->bootNumber;
    this->resetToCold(now);
    return lost;
}

void FakeEngine::resetToCold(Micros now)
{
    this->coldUntil = now + this->profile.coldTime;
    this->coldLimit = std::max(this->profile.coldLimit, static_cast<std::uint32_t>(this->requestCount()));
    this->completedWhileCold = 0;
}

void FakeEngine::startMeasuring()
{
    this->isMeasuring = true;
}

void FakeEngine::stopMeasuring()
{
    this->isMeasuring = false;
}

const GapHistogram &FakeEngine::gaps() const
{
    return this->gapHistogram;
}

std::uint64_t FakeEngine::preemptions() const
{
    return this->preemptionCount;
}

}
