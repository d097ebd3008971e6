#pragma once

#include <LibConfig/CheckpointRule.h>
#include <LibConfig/ConfigStore.h>
#include <LibMembership/Membership.h>

namespace Lovageward {

/** Writes checkpoints of the configuration when the rule asks for one. Not thread-safe; one thread drives it. */
class CheckpointWriter
{
public:
    /** `retention` is the log's retention time. */
    CheckpointWriter(
        const Clock &clock, LogSink &sink, Counters &counters, LogService &log, const Membership &membership, const ConfigStore &store, Duration retention);

    /** Writes a checkpoint if one is due; true if an append was tried. Blocks for at most the append timeout of 2 s. */
    bool step();

private:
    bool isDue() const;

    const Clock &clock;
    Logger logger;
    LogService &log;
    const Membership &membership;
    const ConfigStore &store;
    CheckpointRule rule;
    Counter &written;
    TimePoint notBefore;
};

}
