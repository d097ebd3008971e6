#include <LibPolicy/LengthModel.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Observations after which an older one counts 1/e. Large enough to estimate the tail, small enough to follow a change within minutes. */
constexpr double observationWindow = 1500;
/** Weight of the fallback at each bucket, in observations. */
constexpr double fallbackWeight = 6;
/** Hazard of each bucket of the prior. Survival about halves with each doubling of the length: a heavy tail without a typical length. */
constexpr double priorHazard = 0.16;
/** Changes of a group after which its distribution is recomputed. */
constexpr std::uint32_t changesPerUpdate = 8;
/** Observation weight above which the sums of a level are rescaled, so that they don't grow without bound. */
constexpr double maximumWeight = 1e9;

LengthDistribution::Hazards priorHazards()
{
    LengthDistribution::Hazards hazards;
    hazards.fill(priorHazard);
    return hazards;
}

}

LengthModel::Level::Level() : distribution(priorHazards())
{
}

void LengthModel::Level::observe(std::size_t bucket, bool isComplete)
{
    this->weight *= 1 + 1 / observationWindow;
    if (this->weight > maximumWeight) {
        for (std::size_t index = 0; index < LengthDistribution::bucketCount; ++index) {
            this->ended[index] /= this->weight;
            this->censored[index] /= this->weight;
        }
        this->weight = 1;
    }
    (isComplete ? this->ended : this->censored)[bucket] += this->weight;
}

LengthDistribution::Hazards LengthModel::Level::estimateHazards(const LengthDistribution::Hazards &fallback) const
{
    LengthDistribution::Hazards hazards {};
    double atRisk = 0;
    for (auto bucket = LengthDistribution::bucketCount; bucket-- > 0;) {
        auto ended = this->ended[bucket] / this->weight;
        auto unfinished = this->censored[bucket] / this->weight + this->running[bucket];
        // A request that is censored within a bucket was at risk for about half of the bucket.
        auto exposure = atRisk + ended + unfinished / 2;
        hazards[bucket] = (ended + fallbackWeight * fallback[bucket]) / (exposure + fallbackWeight);
        atRisk += ended + unfinished;
    }
    return hazards;
}

LengthModel::LengthModel()
{
    this->levels.emplace_back();
}

LengthModel::GroupIndex LengthModel::groupIndex(const WorkClassId &workClass, const TeamId &team)
{
    auto key = std::make_pair(workClass, team);
    auto found = this->groups.find(key);
    if (found != this->groups.end()) {
        return found->second;
    }
    auto [classLevel, isNewClass] = this->classLevels.try_emplace(workClass, static_cast<std::uint32_t>(this->levels.size()));
    if (isNewClass) {
        this->levels.emplace_back();
    }
    auto index = static_cast<GroupIndex>(this->levels.size());
    this->levels.emplace_back();
    this->levels.back().parent = classLevel->second;
    this->groups.emplace(key, index);
    return index;
}

void LengthModel::recordStart(GroupIndex group)
{
    ++this->levels[group].running[0];
    ++this->levels[this->levels[group].parent].running[0];
    this->markChanged(group);
}

void LengthModel::recordProgress(GroupIndex group, TokenCount before, TokenCount after)
{
    auto from = LengthDistribution::bucketOf(static_cast<double>(before.value()));
    auto to = LengthDistribution::bucketOf(static_cast<double>(after.value()));
    if (from == to) {
        return;
    }
    for (auto level : { group, this->levels[group].parent }) {
        --this->levels[level].running[from];
        ++this->levels[level].running[to];
    }
    this->markChanged(group);
}

void LengthModel::recordEnd(GroupIndex group, TokenCount before, TokenCount length, bool isComplete)
{
    auto from = LengthDistribution::bucketOf(static_cast<double>(before.value()));
    auto to = LengthDistribution::bucketOf(static_cast<double>(length.value()));
    for (auto level : { group, this->levels[group].parent }) {
        --this->levels[level].running[from];
        this->levels[level].observe(to, isComplete);
    }
    this->markChanged(group);
}

const LengthDistribution &LengthModel::distribution(GroupIndex group)
{
    auto &level = this->levels[group];
    if (!level.hasDistribution || level.changesSinceUpdate >= changesPerUpdate) {
        level.distribution = LengthDistribution(this->computeHazards(group));
        level.changesSinceUpdate = 0;
        level.hasDistribution = true;
    }
    return level.distribution;
}

void LengthModel::markChanged(GroupIndex group)
{
    auto &level = this->levels[group];
    ++level.changesSinceUpdate;
}

LengthDistribution::Hazards LengthModel::computeHazards(std::uint32_t level) const
{
    if (level == 0) {
        return priorHazards();
    }
    return this->levels[level].estimateHazards(this->computeHazards(this->levels[level].parent));
}

}
