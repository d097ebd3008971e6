#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCore/RandomSource.h>
#include <LibMembership/HostListListener.h>
#include <LibMembership/Membership.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/ParallelRunner.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPeer/PeerTransport.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace Lovageward {

struct GossipOptions
{
    Duration probePeriod = seconds(1);
    /** Covers opening a connection between regions (four one-way latencies of 20 ms) with room for a busy host. */
    Duration directTimeout = milliseconds(300);
    /** Covers the way to the helper and the helper's own direct probe. */
    Duration indirectTimeout = milliseconds(600);
    std::size_t helpers = 3;
    MembershipOptions membership;
};

/**
 * Takes part in gossip on behalf of this node: probes members, answers probes, and shows the result as Membership.
 * Register it at the PeerRouter for Probe and IndirectProbe, as listener of the HostListPoller, and run it by a TaskThread.
 * Thread-safe; the mutex guards the table and is held for no I/O.
 */
class GossipAgent final : public Membership, public PeerHandler, public PeriodicTask, public HostListListener
{
public:
    /** `self` is this node with the incarnation of this run, for example its start time in milliseconds. */
    GossipAgent(const Clock &clock,
                RandomSource &random,
                PeerTransport &transport,
                ParallelRunner &runner,
                LogSink &sink,
                Counters &counters,
                const Member &self,
                const GossipOptions &options = {});

    /** Probes the members that are due. Blocks for `directTimeout` plus `indirectTimeout` at most. */
    TimePoint step() override;

    void hostListFetched(const std::vector<ListedHost> &hosts) override;
    std::string handle(const PeerMessage &message) override;

    Member self() const override;
    std::vector<Member> liveMembers() const override;
    Member ownerOf(std::string_view key) const override;
    bool canReachAnyPeer() const override;

    /** Tells the others the newest offset of the `config` stream that this node has applied. */
    void setConfigOffset(Offset offset);

    /** Announces that this node is leaving, so that its ownerships move before it stops. */
    void leave();

    std::optional<MemberState> stateOf(const HostId &host) const;

private:
    struct Attempt
    {
        ProbeTarget target;
        bool isAnswered = false;
    };

    /** Live members with their rendezvous seeds; replaced as a whole when the members change. */
    struct Owners;

    std::vector<Attempt> dueProbes();
    void probeDirectly(std::vector<Attempt> &attempts);
    void probeIndirectly(std::vector<Attempt> &attempts);
    bool sendProbe(const ProbeTarget &target);
    bool sendIndirectProbe(const ProbeTarget &helper, const ProbeTarget &target);
    GossipMessage outgoing(const HostId &target);
    void incoming(const GossipMessage &message);
    std::string answerProbe(const PeerMessage &message);
    std::string answerIndirectProbe(const PeerMessage &message);
    std::shared_ptr<const Owners> currentOwners() const;
    void noteChanges();

    const Clock &clock;
    RandomSource &random;
    PeerTransport &transport;
    ParallelRunner &runner;
    Logger logger;
    GossipOptions options;
    HostId selfId;
    Counter &probes;
    Counter &failedProbes;
    Counter &liveGauge;
    mutable std::mutex mutex;
    MembershipTable table;
    TimePoint lastStepAt;
    std::uint64_t notedVersion = 0;
    std::vector<HostId> notedLive;
    mutable std::shared_ptr<const Owners> owners;
    mutable std::uint64_t ownersVersion = 0;
};

}
