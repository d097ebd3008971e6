#include <LibPolicy/MemoryProfile.h>

namespace Lovageward {

MemoryProfile MemoryProfile::of(const LengthCurve &curve, double promptTokens, double produced, double tokensPerBlock)
{
    MemoryProfile profile;
    for (std::size_t index = 0; index < horizonCount; ++index) {
        auto runs = curve.conditionalSurvival(produced, horizons[index]);
        // Half a block is lost on average, since the last block is partly empty.
        auto blocks = (promptTokens + produced + horizons[index]) / tokensPerBlock + 0.5;
        profile.alive[index] = runs;
        profile.mean[index] = runs * blocks;
        profile.variance[index] = runs * (1 - runs) * blocks * blocks;
    }
    return profile;
}

MemoryProfile MemoryProfile::stationary(const LengthCurve &curve, double promptTokens, double tokensPerBlock)
{
    // Every other bucket boundary is close enough: ages a factor of 1.4 apart.
    constexpr std::size_t stride = 2;
    MemoryProfile sum;
    for (std::size_t bucket = 0; bucket < LengthCurve::bucketCount; bucket += stride) {
        auto from = LengthCurve::bucketStart(bucket);
        auto to = LengthCurve::bucketStart(bucket + stride);
        auto age = (from + to) / 2;
        auto profile = MemoryProfile::of(curve, promptTokens, age, tokensPerBlock);
        profile *= curve.survival(age) * (to - from);
        sum += profile;
    }
    return sum;
}

MemoryProfile &MemoryProfile::operator*=(double factor)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->alive[index] *= factor;
        this->mean[index] *= factor;
        this->variance[index] *= factor;
    }
    return *this;
}

MemoryProfile &MemoryProfile::operator+=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->alive[index] += other.alive[index];
        this->mean[index] += other.mean[index];
        this->variance[index] += other.variance[index];
    }
    return *this;
}

MemoryProfile &MemoryProfile::operator-=(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizonCount; ++index) {
        this->alive[index] -= other.alive[index];
        this->mean[index] -= other.mean[index];
        this->variance[index] -= other.variance[index];
    }
    return *this;
}

}
