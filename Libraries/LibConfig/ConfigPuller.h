#pragma once

#include <LibConfig/ConfigPullMessages.h>
#include <LibConfig/ConfigStore.h>
#include <LibMembership/Membership.h>
#include <LibPeer/PeerTransport.h>

namespace Lovageward {

/**
 * Gets missing configuration from a peer that is ahead. Meant for the times when the log can't be read or a checkpoint is
 * needed. Not thread-safe; one thread drives it.
 */
class ConfigPuller
{
public:
    ConfigPuller(const Clock &clock,
                 RandomSource &random,
                 LogSink &sink,
                 Counters &counters,
                 PeerTransport &transport,
                 const Membership &membership,
                 ConfigStore &store);

    /** Asks one peer that is ahead, chosen at random. True if this node got ahead. Blocks for at most the pull timeout of 2 s. */
    bool step();

private:
    std::vector<Member> peersAhead() const;
    bool pullFrom(const Member &peer, TimePoint deadline);
    ConfigPullAnswer ask(const Member &peer, const ConfigPullRequest &request, TimePoint deadline);
    void takeRecords(const ConfigPullAnswer &answer);
    void takeState(const Member &peer, ConfigPullAnswer first, TimePoint deadline);

    const Clock &clock;
    RandomSource &random;
    Logger logger;
    PeerTransport &transport;
    const Membership &membership;
    ConfigStore &store;
    Counter &pulls;
    Counter &failures;
};

}
