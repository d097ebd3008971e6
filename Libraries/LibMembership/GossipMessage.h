#pragma once

#include <LibCore/Ids.h>
#include <LibPeer/PeerTransport.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** State of a member in gossip. At the same incarnation the later one in this list overrides the earlier one. */
enum class MemberState : std::uint8_t {
    Alive = 0,
    Leaving = 1,
    Suspect = 2,
    Dead = 3,
};

/** What one node says about a member. */
struct MemberUpdate
{
    HostId host;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    PeerAddress peerAddress;
    RegionId region;
    FailureDomainId failureDomain;
};

/**
 * Members that are known to have applied the `config` stream up to an offset, one bit per member in the order of host ids.
 * The bits count only for receivers that know the same hosts, which viewHash shows. 340 members take 43 bytes, whereas one
 * update per member and change would take 300 s to reach every node.
 */
struct AppliedOffsets
{
    std::uint64_t viewHash = 0;
    Offset offset;
    std::string bits;

    bool contains(std::size_t position) const;
    void add(std::size_t position);
};

/** Content of a probe and of its answer. */
struct GossipMessage
{
    /** The member that the probe is meant for. Another host that has taken over the address must not answer for it. */
    HostId target;
    /** The sender about itself. */
    MemberUpdate self;
    Offset configOffset;
    /** Asks for the states of all members; set by a node that has just started or was paused. */
    bool wantsAllMembers = false;
    /** True in the answer to that: `updates` holds all members instead of a few. */
    bool holdsAllMembers = false;
    std::vector<MemberUpdate> updates;
    std::vector<AppliedOffsets> appliedOffsets;
};

/** Content of an indirect probe: the sender asks the receiver to probe the message's target at this address. */
struct IndirectProbeRequest
{
    PeerAddress targetAddress;
    GossipMessage gossip;
};

struct IndirectProbeAnswer
{
    /** True if the target answered the receiver's probe. */
    bool isReached = false;
    GossipMessage gossip;
};

std::string encodeGossip(const GossipMessage &message);
std::string encodeIndirectProbe(const IndirectProbeRequest &request);
std::string encodeIndirectAnswer(const IndirectProbeAnswer &answer);

/** These throw Error(MalformedMessage). */
GossipMessage decodeGossip(std::string_view encoded);
IndirectProbeRequest decodeIndirectProbe(std::string_view encoded);
IndirectProbeAnswer decodeIndirectAnswer(std::string_view encoded);

}
