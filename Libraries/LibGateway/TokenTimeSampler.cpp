#include <LibGateway/TokenTimeSampler.h>

namespace Lovageward {

namespace {

/** Minimum time over which tokens are averaged, because events arrive in bursts. */
constexpr Duration minimumSampleTime = milliseconds(100);

}

void TokenTimeSampler::recordProgress(double totalTokens)
{
    auto now = this->clock.now();
    if (this->sampleStartedAt == TimePoint()) {
        this->sampleStartedAt = now;
        this->tokensAtSampleStart = totalTokens;
        return;
    }
    auto newTokens = totalTokens - this->tokensAtSampleStart;
    if (now - this->sampleStartedAt < minimumSampleTime || newTokens <= 0) {
        return;
    }
    this->tracker.recordSample(this->engine, std::chrono::duration_cast<Duration>((now - this->sampleStartedAt) / newTokens));
    this->sampleStartedAt = now;
    this->tokensAtSampleStart = totalTokens;
}

}
