#include <LibPolicy/TwoChoicesChooser.h>

namespace Lovageward {

std::size_t TwoChoicesChooser::select(const std::vector<UpstreamSummary> &candidates)
{
    auto first = this->random.below(candidates.size());
    auto second = this->random.below(candidates.size());
    auto load = [&candidates](std::size_t position) { return candidates[position].running + candidates[position].waiting; };
    return load(second) < load(first) ? second : first;
}

}
