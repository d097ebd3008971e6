#pragma once

#include <LibPolicy/BaselineChooser.h>

namespace Lovageward {

/** Baseline: chooses the upstream with the fewest outstanding requests of this node. Ties are broken at random. */
class LeastOutstandingChooser final : public BaselineChooser
{
public:
    using BaselineChooser::BaselineChooser;

private:
    std::size_t select(const std::vector<UpstreamSummary> &candidates) override;
};

}
