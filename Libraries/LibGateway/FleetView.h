#pragma once

#include <cstddef>

namespace Lovageward {

/** The size of the fleet, by which limits that hold for all nodes together are divided. */
class FleetView
{
public:
    virtual ~FleetView() = default;

    /** Number of nodes that may be serving, including this one. Overestimated while some nodes are uncertain. */
    virtual std::size_t nodeCount() const = 0;

    /** True if the fleet is so large that a node receives the load of single nodes only from its own failure domain. */
    virtual bool isHierarchical() const = 0;
};

}
