#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibMembership/Membership.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPeer/PeerTransport.h>
#include <LibRelay/AbandonedStreams.h>
#include <LibRelay/EngineClient.h>
#include <LibRelay/StreamHandover.h>

#include <mutex>

namespace Lovageward {

/**
 * StreamHandover between nodes. A node that resumes a generation notifies the generation's owner with a StreamTakeOver message. Must be
 * registered with the PeerRouter for that message kind and run by a TaskThread.
 * Thread-safe; the mutex guards the streams and is not held during I/O.
 */
class PeerStreamHandover final : public StreamHandover, public PeerHandler, public PeriodicTask
{
public:
    PeerStreamHandover(const Clock &clock, PeerTransport &transport, const Membership &membership, EngineClient &engines, Counters &counters);

    HostId ownerHost() const override;
    void abandon(const GenerationTarget &target) override;
    void takeOver(const HostId &ownerHost, const GenerationId &generation) override;

    std::string handle(const PeerMessage &message) override;

    /** Cancels the generations whose callers did not resume in time. */
    TimePoint step() override;

private:
    /** Notifies one node. Returns the node that had previously taken the generation over from it, if any. */
    std::optional<HostId> sendTakeOver(const HostId &host, const GenerationId &generation);

    const Clock &clock;
    PeerTransport &transport;
    const Membership &membership;
    EngineClient &engines;
    Counter &abandonedStreams;
    Counter &takenOverStreams;
    Counter &cancelledStreams;
    Counter &failedMessages;
    std::mutex mutex;
    AbandonedStreams streams;
};

}
