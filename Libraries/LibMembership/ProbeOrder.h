#pragma once

#include <LibCore/Ids.h>
#include <LibCore/RandomSource.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Lovageward {

/**
 * Random order in which a node probes the others, each once per round, so that no member stays unprobed for long by bad luck.
 * Members that come during a round are inserted at random places of its rest.
 */
class ProbeOrder
{
public:
    bool isExhausted() const
    {
        return this->nextPosition >= this->order.size() && this->added.empty();
    }

    /** Starts a round over these hosts. */
    void restart(std::vector<HostId> hosts);

    void add(const HostId &host);

    /** Next host of the round, or nothing at its end. */
    std::optional<HostId> next(RandomSource &random);

private:
    std::vector<HostId> order;
    std::size_t nextPosition = 0;
    /** Hosts that have no place in the order yet. */
    std::vector<HostId> added;
};

}
