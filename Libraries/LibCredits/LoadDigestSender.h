#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCredits/LoadDigest.h>
#include <LibCredits/UpstreamOwnership.h>
#include <LibMembership/ParallelRunner.h>
#include <LibPeer/PeerTransport.h>

#include <cstdint>
#include <vector>

namespace Lovageward {

/** Sends load digests from an upstream owner to the nodes that use its upstreams. A lost digest is not repeated, since the next one follows. */
class LoadDigestSender
{
public:
    /** `run` is a random number of this process. */
    LoadDigestSender(const Clock &clock,
                     PeerTransport &transport,
                     ParallelRunner &runner,
                     LogSink &sink,
                     Counters &counters,
                     HostId self,
                     std::uint64_t run,
                     Duration timeout = milliseconds(500));

    /** Sends all entries to all users; returns when the last has answered or timed out. */
    void send(const std::vector<LoadDigestEntry> &entries, const std::vector<Member> &users);

private:
    void sendTo(const std::vector<LoadDigestEntry> &entries, const Member &user);

    const Clock &clock;
    PeerTransport &transport;
    ParallelRunner &runner;
    Logger logger;
    Counter &failures;
    HostId self;
    std::uint64_t run;
    Duration timeout;
};

}
