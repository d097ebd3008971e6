#pragma once

#include <LibPolicy/BaselineChooser.h>

namespace Lovageward {

/** Baseline: draws two upstreams at random and chooses the one whose last report shows fewer running and waiting requests. */
class TwoChoicesChooser final : public BaselineChooser
{
public:
    using BaselineChooser::BaselineChooser;

private:
    std::size_t select(const std::vector<UpstreamSummary> &candidates) override;
};

}
