#include <LibPolicy/RoundRobinChooser.h>

#include <algorithm>

namespace Lovageward {

std::size_t RoundRobinChooser::select(const std::vector<UpstreamSummary> &candidates)
{
    auto next = std::ranges::upper_bound(candidates, this->lastSlot, {}, &UpstreamSummary::slot);
    auto position = next == candidates.end() ? 0 : static_cast<std::size_t>(next - candidates.begin());
    this->lastSlot = candidates[position].slot;
    return position;
}

}
