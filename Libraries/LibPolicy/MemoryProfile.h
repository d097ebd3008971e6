#pragma once

#include <LibPolicy/LengthDistribution.h>

#include <array>
#include <cstddef>

namespace Lovageward {

/**
 * Expected KV memory of requests, in blocks, now and after further decoding steps. A request that has ended by then counts as
 * zero, so the mean first grows with the produced tokens and later falls with the probability that the request still runs.
 */
struct MemoryProfile
{
    /** Decoding steps ahead. Horizons further apart than a doubling would miss the peak of requests of similar lengths. */
    static constexpr std::array<double, 8> horizons { 0, 64, 256, 512, 1024, 2048, 4096, 8192 };
    static constexpr std::size_t horizonCount = horizons.size();

    /** Expected number of requests that still run. */
    std::array<double, horizonCount> runningCount {};
    std::array<double, horizonCount> mean {};
    std::array<double, horizonCount> variance {};

    /** Profile of one request with the given prompt and produced tokens. */
    static MemoryProfile forRequest(const LengthDistribution &distribution, double promptTokens, double produced, double tokensPerBlock);

    /** Profile of the requests of this kind that run at a random time: each age is weighted by the expected time spent in it. */
    static MemoryProfile stationary(const LengthDistribution &distribution, double promptTokens, double tokensPerBlock);

    MemoryProfile &operator*=(double factor);
    MemoryProfile &operator+=(const MemoryProfile &other);
    MemoryProfile &operator-=(const MemoryProfile &other);
};

}
