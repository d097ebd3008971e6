#pragma once

#include <LibPolicy/SimpleChooser.h>

namespace Lovageward {

/** Baseline: of two upstreams drawn at random, the one whose last report shows less running and waiting work. */
class TwoChoicesChooser final : public SimpleChooser
{
public:
    using SimpleChooser::SimpleChooser;

private:
    std::size_t select(const std::vector<UpstreamBrief> &candidates) override;
};

}
