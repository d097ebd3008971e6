#include <LibPolicy/ReportLagEstimator.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Observations after which an older one counts 1/e: about half a minute of reports from a dozen upstreams. */
constexpr double observationWindow = 400;
/** Observations needed before a lag is estimated. */
constexpr double minimumObservations = 150;
/**
 * Largest ratio of the residuals at a lag to those at no lag for which the lag is accepted. With eight nodes the true lag
 * reduces the residuals by about a fifth; a reduction of about half of that is required.
 */
constexpr double maximumResidualRatio = 0.92;

}

void ReportLagEstimator::observe(double usedChange, const OwnBlocks &ownChanges)
{
    constexpr auto decay = 1 - 1 / observationWindow;
    this->observations = this->observations * decay + 1;
    for (std::size_t index = 0; index < candidateCount; ++index) {
        auto residual = usedChange - ownChanges[index];
        this->squaredResiduals[index] = this->squaredResiduals[index] * decay + residual * residual;
    }
}

Duration ReportLagEstimator::lag() const
{
    auto best = std::ranges::min_element(this->squaredResiduals);
    if (this->observations < minimumObservations || *best > maximumResidualRatio * this->squaredResiduals.front()) {
        return Duration(0);
    }
    return lagStep * (best - this->squaredResiduals.begin());
}

}
