#include <LibPolicy/LengthModel.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Observations after which an old one counts 1/e. Large enough for the tail, small enough to follow a change within minutes. */
constexpr double memoryLength = 1500;
/** Weight of the fallback, in observations, at each bucket. */
constexpr double fallbackStrength = 6;
/** The prior halves about once per doubling of the length, so it is heavy-tailed and without a scale. */
constexpr double priorHazard = 0.16;
/** Changes after which a curve is computed anew. */
constexpr std::uint32_t changesPerCurve = 8;
constexpr double largestWeight = 1e9;

LengthCurve::Hazards priorHazards()
{
    LengthCurve::Hazards hazards;
    hazards.fill(priorHazard);
    return hazards;
}

}

LengthModel::Level::Level() : curve(priorHazards())
{
}

void LengthModel::Level::observe(std::size_t bucket, bool isComplete)
{
    this->weight *= 1 + 1 / memoryLength;
    if (this->weight > largestWeight) {
        for (std::size_t index = 0; index < LengthCurve::bucketCount; ++index) {
            this->ended[index] /= this->weight;
            this->censored[index] /= this->weight;
        }
        this->weight = 1;
    }
    (isComplete ? this->ended : this->censored)[bucket] += this->weight;
}

LengthCurve::Hazards LengthModel::Level::hazards(const LengthCurve::Hazards &fallback) const
{
    LengthCurve::Hazards hazards {};
    double atRisk = 0;
    for (auto bucket = LengthCurve::bucketCount; bucket-- > 0;) {
        auto ended = this->ended[bucket] / this->weight;
        auto open = this->censored[bucket] / this->weight + this->running[bucket];
        // Work that is censored within a bucket was at risk for about half of it.
        auto exposed = atRisk + ended + open / 2;
        hazards[bucket] = (ended + fallbackStrength * fallback[bucket]) / (exposed + fallbackStrength);
        atRisk += ended + open;
    }
    return hazards;
}

LengthModel::LengthModel()
{
    this->levels.emplace_back();
}

LengthModel::Group LengthModel::group(const WorkClassId &workClass, const TeamId &team)
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
    auto index = static_cast<Group>(this->levels.size());
    this->levels.emplace_back();
    this->levels.back().parent = classLevel->second;
    this->groups.emplace(key, index);
    return index;
}

void LengthModel::started(Group group)
{
    ++this->levels[group].running[0];
    ++this->levels[this->levels[group].parent].running[0];
    this->touch(group);
}

void LengthModel::progressed(Group group, TokenCount before, TokenCount after)
{
    auto from = LengthCurve::bucketOf(static_cast<double>(before.value()));
    auto to = LengthCurve::bucketOf(static_cast<double>(after.value()));
    if (from == to) {
        return;
    }
    for (auto level : { group, this->levels[group].parent }) {
        --this->levels[level].running[from];
        ++this->levels[level].running[to];
    }
    this->touch(group);
}

void LengthModel::finished(Group group, TokenCount before, TokenCount length, bool isComplete)
{
    auto from = LengthCurve::bucketOf(static_cast<double>(before.value()));
    auto to = LengthCurve::bucketOf(static_cast<double>(length.value()));
    for (auto level : { group, this->levels[group].parent }) {
        --this->levels[level].running[from];
        this->levels[level].observe(to, isComplete);
    }
    this->touch(group);
}

const LengthCurve &LengthModel::curve(Group group)
{
    auto &level = this->levels[group];
    if (!level.hasCurve || level.changes >= changesPerCurve) {
        level.curve = LengthCurve(this->hazardsOf(group));
        level.changes = 0;
        level.hasCurve = true;
    }
    return level.curve;
}

void LengthModel::touch(Group group)
{
    auto &level = this->levels[group];
    ++level.changes;
}

LengthCurve::Hazards LengthModel::hazardsOf(std::uint32_t level) const
{
    if (level == 0) {
        return priorHazards();
    }
    return this->levels[level].hazards(this->hazardsOf(this->levels[level].parent));
}

}
