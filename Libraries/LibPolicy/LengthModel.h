#pragma once

#include <LibCore/Ids.h>
#include <LibPolicy/LengthDistribution.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace Lovageward {

/**
 * Learns output lengths per class and team from finished and running requests. Where observations are few, the estimate of a
 * team falls back to that of its class, and the estimate of a class to a prior. Requests that are running, cancelled or
 * failed are censored observations (Kaplan–Meier): without them the model would be biased towards short outputs, which finish first.
 */
class LengthModel
{
public:
    /** Index of a (class, team) pair; 0 is never used. */
    using GroupIndex = std::uint32_t;

    LengthModel();

    /** Returns the index of the pair, which is added on first use. */
    GroupIndex groupIndex(const WorkClassId &workClass, const TeamId &team);

    /** Records the start of a request. */
    void recordStart(GroupIndex group);

    /** Records that a running request has advanced from `before` to `after` produced tokens. */
    void recordProgress(GroupIndex group, TokenCount before, TokenCount after);

    /** Records the end of a request whose last recorded progress is `before`. If it isn't complete, `length` is only a lower bound. */
    void recordEnd(GroupIndex group, TokenCount before, TokenCount length, bool isComplete);

    /** Current distribution of the group. The reference is valid until the next call. */
    const LengthDistribution &distribution(GroupIndex group);

private:
    /** Observations of a group, of a class or of the prior, by bucket. */
    struct Level
    {
        std::array<double, LengthDistribution::bucketCount> ended {};
        std::array<double, LengthDistribution::bucketCount> censored {};
        std::array<std::int32_t, LengthDistribution::bucketCount> running {};
        /** Weight of the next observation. It grows with each one, so that older observations decay without being updated. */
        double weight = 1;
        LengthDistribution distribution;
        std::uint32_t changesSinceUpdate = 0;
        bool hasDistribution = false;
        /** Index of the level that this one falls back to. */
        std::uint32_t parent = 0;

        Level();
        void observe(std::size_t bucket, bool isComplete);
        LengthDistribution::Hazards estimateHazards(const LengthDistribution::Hazards &fallback) const;
    };

    void markChanged(GroupIndex group);
    LengthDistribution::Hazards computeHazards(std::uint32_t level) const;

    /** Level 0 is the prior; classes and groups follow in order of first use. A deque, as references must stay valid. */
    std::deque<Level> levels;
    std::map<WorkClassId, std::uint32_t> classLevels;
    std::map<std::pair<WorkClassId, TeamId>, GroupIndex> groups;
};

}
