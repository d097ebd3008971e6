#include <LibPolicy/LeastOutstandingChooser.h>

namespace Lovageward {

std::size_t LeastOutstandingChooser::select(const std::vector<UpstreamSummary> &candidates)
{
    // A random starting point breaks ties differently on every node.
    auto start = this->random.below(candidates.size());
    auto best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        auto position = (start + step) % candidates.size();
        if (this->outstanding(candidates[position].slot) < this->outstanding(candidates[best].slot)) {
            best = position;
        }
    }
    return best;
}

}
