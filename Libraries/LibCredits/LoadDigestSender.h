#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCredits/LoadDigest.h>
#include <LibCredits/UpstreamOwnership.h>
#include <LibMembership/ParallelRunner.h>
#include <LibPeer/PeerTransport.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Lovageward {

/**
 * Sends load digests from an upstream owner to the nodes that use its upstreams. A lost digest is not sent again, since the
 * next one follows soon. Each answer contains the time by the receiver's clock, which lets the next digest state its time of
 * sending by that clock. A receiver rejects digests until the sender knows its clock, so a rejected digest is sent once more
 * after the answer.
 * Lock order: the mutex guards the clocks and isn't held during I/O.
 */
class LoadDigestSender
{
public:
    LoadDigestSender(const Clock &clock,
                     PeerTransport &transport,
                     ParallelRunner &runner,
                     LogSink &sink,
                     Counters &counters,
                     HostId self,
                     Duration timeout = milliseconds(500));

    /** Sends all entries to all receivers; returns when the last receiver has answered or timed out. */
    void send(const std::vector<LoadDigestEntry> &entries, const std::vector<Member> &receivers);

private:
    /** Clock of a receiver as stated in its last answer. */
    struct ReceiverClock
    {
        /** Instance number of the receiver process. */
        std::uint64_t instance = 0;
        TimePoint receiverTime;
        /** Time at which that answer arrived, by this node's clock. */
        TimePoint answeredAt;
    };

    void sendTo(const std::vector<LoadDigestEntry> &entries, const Member &receiver);
    bool sendOnce(const std::vector<LoadDigestEntry> &entries, const Member &receiver);
    void forgetOtherReceivers(const std::vector<Member> &receivers);

    const Clock &clock;
    PeerTransport &transport;
    ParallelRunner &runner;
    Logger logger;
    Counter &failures;
    HostId self;
    Duration timeout;
    std::mutex mutex;
    std::map<HostId, ReceiverClock> receiverClocks;
};

}
