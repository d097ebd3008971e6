#pragma once

#include <LibGateway/TokenTimeTracker.h>

namespace Lovageward {

/** Measures the time per output token of one run at one engine. Not thread-safe. */
class TokenTimeSampler
{
public:
    TokenTimeSampler(const Clock &clock, TokenTimeTracker &tracker, const UpstreamId &engine) : clock(clock), tracker(tracker), engine(engine)
    {
    }

    /** Records the total number of output tokens that the run has produced so far. */
    void recordProgress(double totalTokens);

private:
    const Clock &clock;
    TokenTimeTracker &tracker;
    UpstreamId engine;
    /** Start of the current measurement and the output tokens produced before it. */
    TimePoint sampleStartedAt;
    double tokensAtSampleStart = 0;
};

}
