#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Lovageward::Soak {

enum class FaultKind {
    // Planned work.
    StopNode,
    ReloadNode,
    DrainUpstream,
    DrainDomain,
    ChangeConfig,
    // Unplanned.
    KillNode,
    PauseNode,
    KillUpstream,
    PauseUpstream,
    PauseStore,
    DelayLink,
    ResetLink,
    SilenceLink,
    CutLinkOneWay,
};

/** Links that pass a proxy. */
enum class LinkKind {
    CallerToNode,
    NodeToUpstream,
    NodeToStore,
};

struct Fault
{
    FaultKind kind = FaultKind::ChangeConfig;
    /** Time from the start of the run. */
    Duration startsAt = Duration(0);
    Duration endsAt = Duration(0);
    /** Number of the node or upstream, taken modulo their count. */
    std::uint64_t target = 0;
    LinkKind link = LinkKind::NodeToUpstream;
};

bool isPlanned(FaultKind kind);
std::string describe(const Fault &fault);

/** Faults of one run, in the order of their starts; they come in series and overlap. Every third seed has planned work only. */
std::vector<Fault> drawFaults(std::uint64_t seed, Duration length);

}
