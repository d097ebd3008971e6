#include <LibPolicy/MemoryProfile.h>

namespace Lovageward {

MemoryProfile MemoryProfile::of(const LengthCurve &curve, double promptTokens, double produced, double tokensPerBlock)
{
    MemoryProfile profile;
    for (std::size_t index = 0; index < horizonCount; ++index) {
        auto runs = curve.conditionalSurvival(produced, horizons[index]);
        // Half a block is lost on average, since the last block is partly empty.
        auto blocks = (promptTokens + produced + horizons[index]) / tokensPerBlock + 0.5;
        profile.mean[index] = runs * blocks;
        profile.variance[index] = runs * (1 - runs) * blocks * blocks;
    }
    return profile;
}

MemoryProfile &MemoryProfile::operator+=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->mean[index] += other.mean[index];
        this->variance[index] += other.variance[index];
    }
    return *this;
}

MemoryProfile &MemoryProfile::operator-=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->mean[index] -= other.mean[index];
        this->variance[index] -= other.variance[index];
    }
    return *this;
}

}
