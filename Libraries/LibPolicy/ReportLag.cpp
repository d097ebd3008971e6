#include <LibPolicy/ReportLag.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** About half a minute of reports from a dozen upstreams. */
constexpr double memoryLength = 400;
constexpr double fewestObservations = 150;
/** With eight nodes the right lag explains about a fifth of the changes that a wrong one leaves; this is half of that. */
constexpr double clearlyBetter = 0.92;

}

void ReportLag::observe(double usedChange, const OwnBlocks &ownChanges)
{
    constexpr auto fading = 1 - 1 / memoryLength;
    this->observations = this->observations * fading + 1;
    for (std::size_t index = 0; index < candidateCount; ++index) {
        auto rest = usedChange - ownChanges[index];
        this->unexplained[index] = this->unexplained[index] * fading + rest * rest;
    }
}

Duration ReportLag::lag() const
{
    auto best = std::ranges::min_element(this->unexplained);
    if (this->observations < fewestObservations || *best > clearlyBetter * this->unexplained.front()) {
        return Duration(0);
    }
    return step * (best - this->unexplained.begin());
}

}
