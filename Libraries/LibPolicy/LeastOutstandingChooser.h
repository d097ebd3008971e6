#pragma once

#include <LibPolicy/SimpleChooser.h>

namespace Lovageward {

/** Baseline: the upstream with the least work of this node; one of them at random if there are several. */
class LeastOutstandingChooser final : public SimpleChooser
{
public:
    using SimpleChooser::SimpleChooser;

private:
    std::size_t select(const std::vector<UpstreamBrief> &candidates) override;
};

}
