#pragma once

#include <LibCore/RandomSource.h>
#include <LibCore/Time.h>
#include <LibMembership/GossipMessage.h>
#include <LibMembership/HostList.h>
#include <LibMembership/MemberEntry.h>
#include <LibMembership/Membership.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lovageward {

struct MembershipOptions
{
    /** Time between the suspicion of a member and the last probe before its death. */
    Duration suspicion = seconds(4);
    /** Time for which a dead member that the host list doesn't show is kept. */
    Duration deadRetention = minutes(10);
    /**
     * Time before the suspicion deadline from which every node that holds the suspicion probes the member itself. With two
     * probes a loss of a tenth of all messages makes a false death improbable even at 340 nodes.
     */
    Duration confirmation = milliseconds(1500);
    /** Time without any message from another node after which this node counts as isolated. */
    Duration isolation = seconds(6);
    std::size_t maximumUpdates = 8;
    /** Every so many steps, a dead member that is still listed is probed, so that a healed partition is noticed. */
    std::uint64_t deadProbeInterval = 5;
};

/**
 * SWIM state machine of one node (docs/design/membership.md). Contains no threads, clocks or sockets; the caller serialises
 * the calls and passes the time.
 *
 * A member dies here only if it fails the probes of this node up to and after the suspicion deadline, or if another node
 * reports its death. The node that began a suspicion repeats its probe in every step, so that most false ones end at once. A dead member comes back only with a
 * higher incarnation. A host that is neither listed nor known is not believed to be alive until it has sent a message itself, so an old update can't bring back
 * a member that was forgotten.
 */
class MembershipTable
{
public:
    /** `self` is this node; its incarnation must exceed that of earlier runs on the host. */
    MembershipTable(const Member &self, TimePoint now, const MembershipOptions &options = {});

    /** Takes over the entry hosts of the host list. New ones count as alive until a probe fails. */
    void applyHostList(const std::vector<ListedHost> &hosts, TimePoint now);

    /** Handles a message that this node has received, be it a probe or an answer. */
    void merge(const GossipMessage &message, TimePoint now);

    /** Message to a member, with the updates that are due. */
    GossipMessage messageTo(const HostId &target);

    /** Forgets dead members after the retention time. Call it once per step, before probeTargets(). */
    void advance(TimePoint now);

    /**
     * Members to be probed in this step: the regular one, suspects, unconfirmed ones, and at times a dead one.
     *
     * `round` is the wall time in probe periods. Each round puts the members into another pseudo-random circle, in which
     * every node probes its successor. Nodes whose clocks agree thereby probe every member once per round, whereas members
     * chosen independently stay unprobed for 6 s once in 400 cases. A wrong clock makes the choice independent.
     */
    std::vector<ProbeTarget> probeTargets(std::uint64_t round, RandomSource &random, TimePoint now) const;

    /** Live members that can probe the target on behalf of this node. */
    std::vector<ProbeTarget> helpersFor(const HostId &target, std::size_t count, RandomSource &random) const;

    /** Neither the member nor a helper answered: suspects the member, or declares it dead if its suspicion deadline has passed. */
    void probeFailed(const HostId &host, TimePoint now);

    /** Asks for all members at the next message; for a node that was paused. */
    void requestAllMembers();

    void setConfigOffset(Offset offset);

    /** Announces that this node is leaving: it owns nothing any more, but still answers. */
    void leave();

    Member selfMember() const;

    /** Members that are neither dead nor leaving, sorted by host id, with this node. Suspects are included until they die. */
    std::vector<Member> liveMembers() const;

    bool canReachAnyPeer(TimePoint now) const;

    /** State of a member, if it is known. */
    std::optional<MemberState> stateOf(const HostId &host) const;

    /** Changes whenever liveMembers() may change apart from config offsets. */
    std::uint64_t version() const
    {
        return this->changes;
    }

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    void listMember(const ListedHost &row);
    void unlistMembers(const std::set<HostId> &listed, TimePoint now);
    void mergeUpdate(const MemberUpdate &update, TimePoint now);
    void mergeSender(const GossipMessage &message, TimePoint now);
    MemberEntry &addMember(const MemberUpdate &update, bool isConfirmed);
    bool takeUpdate(MemberEntry &entry, const MemberUpdate &news, TimePoint now);
    void refute(const MemberUpdate &update);
    void setState(MemberEntry &entry, MemberState state, TimePoint now);
    void queueUpdate(MemberEntry &entry) const;
    void addUpdates(GossipMessage &message);
    void addAllMembers(GossipMessage &message) const;
    std::vector<MemberEntry *> pendingUpdates();
    bool isOther(const HostId &host) const
    {
        return host != this->selfId;
    }
    std::optional<ProbeTarget> successor(std::uint64_t round) const;
    std::optional<ProbeTarget> deadListed(RandomSource &random) const;
    bool needsExtraProbe(const MemberEntry &entry, TimePoint now) const;
    void rememberHosts();
    MemberEntry &own();
    const MemberEntry &own() const;

    HostId selfId;
    MembershipOptions options;
    std::map<HostId, MemberEntry> entries;
    std::uint64_t steps = 0;
    std::uint64_t changes = 0;
    /** Hash over the known host ids; see AppliedOffsets. */
    std::uint64_t viewHash = 0;
    bool wantsAllMembers = true;
    /** Host whose next message holds all members; empty if none. */
    HostId fullListReceiver;
    TimePoint lastHeardAt;
};

}
