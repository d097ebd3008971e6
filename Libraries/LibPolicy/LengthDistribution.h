#pragma once

#include <array>
#include <cstddef>

namespace Lovageward {

/** Distribution of output lengths in tokens, stored as a survival function over logarithmic buckets. */
class LengthDistribution
{
public:
    /** Four buckets per doubling, up to 65,536 tokens. */
    static constexpr std::size_t bucketCount = 64;
    using Hazards = std::array<double, bucketCount>;

    /** `hazards[b]` is the probability that an output that reaches bucket b ends in it. */
    explicit LengthDistribution(const Hazards &hazards);

    /** Index of the bucket that contains a length. */
    static std::size_t bucketOf(double tokens);

    /** Shortest length of the bucket, in tokens. */
    static double bucketStart(std::size_t bucket);

    /** Probability that a length is greater than `tokens`. */
    double survival(double tokens) const;

    /** Probability that at least `additional` tokens follow after `produced`. */
    double conditionalSurvival(double produced, double additional) const;

    /** Expected number of tokens that follow after `produced`. */
    double expectedRemaining(double produced) const;

    /** Total length that is exceeded with probability 1 − `probability`, given that `produced` tokens were reached. */
    double quantile(double produced, double probability) const;

private:
    /** Probability that a length reaches the start of each bucket. */
    std::array<double, bucketCount + 1> survivalAtStart {};
};

}
