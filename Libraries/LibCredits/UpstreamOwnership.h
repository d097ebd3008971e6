#pragma once

#include <LibMembership/Membership.h>
#include <LibMembership/RendezvousHash.h>
#include <LibPolicy/UpstreamState.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Lovageward {

struct FanoutOptions
{
    /**
     * Number of owners in its own region whose upstreams a node uses; 0 means all owners of all regions, which suits small
     * deployments. With 340 nodes and 4,000 upstreams an owner has about 12 upstreams, so 7 owners give a node about 16
     * upstreams per model with 5 models.
     */
    std::size_t ownersPerNode = 0;
    /** Number of additional owners in other regions, as the last resort when the node's own region has no capacity. */
    std::size_t remoteOwnersPerNode = 2;
};

/**
 * Assigns owners and users to upstreams for one set of live members. Immutable.
 *
 * The owner of an upstream is the node that ranks first by rendezvous hashing among the live nodes of the upstream's region,
 * so that polls don't cross regions; if the region has no live node, it is chosen among all. With a bounded fan-out each node
 * uses the upstreams of the owners that rank first for the node's host id. This bounds the digests that a node receives and,
 * on average, those that an owner sends.
 */
class OwnershipView
{
public:
    OwnershipView(const Member &self, const std::vector<Member> &members, const FanoutOptions &options);

    /** Owner of an upstream; this node if there are no live members. */
    const Member &ownerOf(const UpstreamId &upstream, const RegionId &region) const;

    bool isOwner(const UpstreamId &upstream, const RegionId &region) const;

    /** True if this node owns the upstream or receives its load digests. */
    bool isUsedBySelf(const UpstreamId &upstream, const RegionId &region) const;

    /** Other nodes that use the upstreams of this node and receive its load digests. */
    const std::vector<Member> &digestReceivers() const
    {
        return this->receivers;
    }

    /** Live members, sorted by host id. */
    const std::vector<Member> &members() const
    {
        return this->liveMembers;
    }

private:
    /** Members among which owners are ranked. */
    struct MemberGroup
    {
        /** Indexes into `liveMembers`. */
        std::vector<std::size_t> memberIndexes;
        RendezvousHash hash;
    };

    /** Owners whose upstreams a node uses, including the node itself. */
    std::set<HostId> selectOwnersFor(const Member &node) const;
    MemberGroup makeGroup(const std::vector<std::size_t> &memberIndexes) const;

    Member self;
    FanoutOptions options;
    std::vector<Member> liveMembers;
    MemberGroup allMembers;
    std::map<RegionId, MemberGroup> regionGroups;
    /** For each region, the members outside it. */
    std::map<RegionId, MemberGroup> remoteGroups;
    std::set<HostId> usedOwners;
    std::vector<Member> receivers;
};

/** Provides the OwnershipView of the current members. Thread-safe; the mutex guards the cached view. */
class UpstreamOwnership
{
public:
    explicit UpstreamOwnership(const Membership &membership, const FanoutOptions &options = {});

    /** View of the members that are live now. The pointer changes when a member joins, leaves, or changes its region or address. */
    std::shared_ptr<const OwnershipView> current() const;

private:
    const Membership &membership;
    FanoutOptions options;
    mutable std::mutex mutex;
    mutable std::shared_ptr<const OwnershipView> view;
};

}
