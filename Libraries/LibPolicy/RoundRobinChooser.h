#pragma once

#include <LibPolicy/BaselineChooser.h>

namespace Lovageward {

/** Baseline: chooses the usable upstreams in turn. */
class RoundRobinChooser final : public BaselineChooser
{
public:
    using BaselineChooser::BaselineChooser;

private:
    std::size_t select(const std::vector<UpstreamSummary> &candidates) override;

    /** Slot of the last choice. The next higher slot follows, so that the order survives changes in the set of candidates. */
    std::uint32_t lastSlot = 0;
};

}
