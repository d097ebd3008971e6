#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward::Soak {

enum class FaultKind {
    // Planned operations.
    StopNode,
    ReloadNode,
    DrainUpstream,
    DrainDomain,
    ChangeConfig,
    // Unplanned faults.
    KillNode,
    PauseNode,
    KillUpstream,
    PauseUpstream,
    PauseStore,
    DelayLink,
    ResetLink,
    SilenceLink,
    CutLinkOneWay,
    // Drawn apart from the others, so that earlier seeds keep their faults.
    RestoreStore,
};

/** Links that run through a LinkProxy. */
enum class LinkKind {
    CallerToNode,
    NodeToUpstream,
    NodeToStore,
};

struct Fault
{
    FaultKind kind = FaultKind::ChangeConfig;
    /** Start and end, relative to the start of the run. */
    Duration startsAt = Duration(0);
    Duration endsAt = Duration(0);
    /** Index of the node or upstream, modulo their number. */
    std::uint64_t target = 0;
    LinkKind link = LinkKind::NodeToUpstream;
};

bool isPlanned(FaultKind kind);
std::string describe(const Fault &fault);

/** Draws the faults of one run, ordered by start. They may overlap. Every third seed has planned operations only. */
std::vector<Fault> drawFaults(std::uint64_t seed, Duration length);

}
