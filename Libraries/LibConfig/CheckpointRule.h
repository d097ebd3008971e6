#pragma once

#include <LibConfig/CheckpointAge.h>

namespace Lovageward {

/** When a node writes a checkpoint (docs/design.md, section 4.1). */
class CheckpointRule
{
public:
    explicit CheckpointRule(Duration retention) : retention(retention)
    {
    }

    /**
     * True if this node should write a checkpoint now. The node that ranks first writes early; any other node only when that
     * one has evidently not done so, which keeps the checkpoint alive if the first node is cut off from the log.
     */
    bool isDue(const CheckpointAge &age, LogTime now, bool ranksFirst) const;

private:
    Duration retention;
};

}
