#include <LibPolicy/MemoryProfile.h>

namespace Lovageward {

MemoryProfile MemoryProfile::forRequest(const LengthDistribution &distribution, double promptTokens, double produced, double tokensPerBlock)
{
    MemoryProfile profile;
    for (std::size_t index = 0; index < horizonCount; ++index) {
        auto runningProbability = distribution.conditionalSurvival(produced, horizons[index]);
        // The last block is partly empty, which wastes half a block on average.
        auto blocks = (promptTokens + produced + horizons[index]) / tokensPerBlock + 0.5;
        profile.runningCount[index] = runningProbability;
        profile.mean[index] = runningProbability * blocks;
        profile.variance[index] = runningProbability * (1 - runningProbability) * blocks * blocks;
    }
    return profile;
}

MemoryProfile MemoryProfile::stationary(const LengthDistribution &distribution, double promptTokens, double tokensPerBlock)
{
    // Every other bucket boundary, ages a factor of 1.4 apart, is precise enough.
    constexpr std::size_t stride = 2;
    MemoryProfile sum;
    for (std::size_t bucket = 0; bucket < LengthDistribution::bucketCount; bucket += stride) {
        auto from = LengthDistribution::bucketStart(bucket);
        auto to = LengthDistribution::bucketStart(bucket + stride);
        auto age = (from + to) / 2;
        auto profile = MemoryProfile::forRequest(distribution, promptTokens, age, tokensPerBlock);
        profile *= distribution.survival(age) * (to - from);
        sum += profile;
    }
    return sum;
}

MemoryProfile &MemoryProfile::operator*=(double factor)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->runningCount[index] *= factor;
        this->mean[index] *= factor;
        this->variance[index] *= factor;
    }
    return *this;
}

MemoryProfile &MemoryProfile::operator+=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->runningCount[index] += other.runningCount[index];
        this->mean[index] += other.mean[index];
        this->variance[index] += other.variance[index];
    }
    return *this;
}

MemoryProfile &MemoryProfile::operator-=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->runningCount[index] -= other.runningCount[index];
        this->mean[index] -= other.mean[index];
        this->variance[index] -= other.variance[index];
    }
    return *this;
}

}
