#pragma once

#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCore/SystemClock.h>
#include <LibCore/SystemRandom.h>
#include <LibLog/LogService.h>
#include <LibMembership/HostList.h>
#include <LibMembership/Membership.h>
#include <LibNode/NodeSettings.h>

#include <memory>

namespace Lovageward {

/** Services that all components of a node share: settings, clock, random source, logger, counters and clients of the platform. */
struct NodeContext
{
    explicit NodeContext(const NodeSettings &nodeSettings);

    /** Membership entry that this node announces to other nodes. */
    Member self() const;

    NodeSettings settings;
    SystemClock clock;
    SystemRandom random;
    StandardErrorSink sink;
    Logger logger;
    Counters counters;
    Incarnation incarnation;
    std::unique_ptr<LogService> log;
    std::unique_ptr<HostList> hostList;
};

/** Minimum retention of the platform's log (docs/design.md, section 4.2). */
inline constexpr auto logRetention = minutes(30);

}
