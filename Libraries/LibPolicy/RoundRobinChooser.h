#pragma once

#include <LibPolicy/SimpleChooser.h>

namespace Lovageward {

/** Baseline: the usable upstreams in turn. */
class RoundRobinChooser final : public SimpleChooser
{
public:
    using SimpleChooser::SimpleChooser;

private:
    std::size_t select(const std::vector<UpstreamBrief> &candidates) override;

    /** Slot of the last choice; the next higher one follows, so a changing set of candidates doesn't disturb the order. */
    std::uint32_t lastSlot = 0;
};

}
