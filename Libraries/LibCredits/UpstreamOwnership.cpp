#include <LibCredits/UpstreamOwnership.h>

#include <algorithm>
#include <numeric>

namespace Lovageward {

namespace {

bool isSameMember(const Member &left, const Member &right)
{
    return left.host == right.host && left.region == right.region && left.peerAddress == right.peerAddress;
}

}

OwnershipView::OwnershipView(const Member &self, const std::vector<Member> &members, const FanoutOptions &options)
    : self(self), options(options), liveMembers(members), allMembers({ {}, RendezvousHash({}) })
{
    std::vector<std::size_t> allIndexes(members.size());
    std::iota(allIndexes.begin(), allIndexes.end(), std::size_t(0));
    this->allMembers = this->makeGroup(allIndexes);
    std::map<RegionId, std::vector<std::size_t>> memberIndexes;
    for (auto index : allIndexes) {
        memberIndexes[members[index].region].push_back(index);
    }
    for (const auto &[region, inside] : memberIndexes) {
        std::vector<std::size_t> outside;
        std::set_difference(allIndexes.begin(), allIndexes.end(), inside.begin(), inside.end(), std::back_inserter(outside));
        this->regionGroups.emplace(region, this->makeGroup(inside));
        this->remoteGroups.emplace(region, this->makeGroup(outside));
    }
    this->usedOwners = this->selectOwnersFor(self);
    for (const auto &member : members) {
        if (member.host != self.host && this->selectOwnersFor(member).contains(self.host)) {
            this->receivers.push_back(member);
        }
    }
}

OwnershipView::MemberGroup OwnershipView::makeGroup(const std::vector<std::size_t> &memberIndexes) const
{
    std::vector<HostId> hosts;
    hosts.reserve(memberIndexes.size());
    for (auto index : memberIndexes) {
        hosts.push_back(this->liveMembers[index].host);
    }
    return { memberIndexes, RendezvousHash(hosts) };
}

std::set<HostId> OwnershipView::selectOwnersFor(const Member &node) const
{
    std::set<HostId> owners { node.host };
    if (this->options.ownersPerNode == 0) {
        for (const auto &member : this->liveMembers) {
            owners.insert(member.host);
        }
        return owners;
    }
    auto addBestOwners = [&](const std::map<RegionId, MemberGroup> &groups, std::size_t count) {
        auto found = groups.find(node.region);
        if (found != groups.end()) {
            for (auto index : found->second.hash.best(node.host.value(), count)) {
                owners.insert(this->liveMembers[found->second.memberIndexes[index]].host);
            }
        }
    };
    addBestOwners(this->regionGroups, this->options.ownersPerNode);
    addBestOwners(this->remoteGroups, this->options.remoteOwnersPerNode);
    return owners;
}

const Member &OwnershipView::ownerOf(const UpstreamId &upstream, const RegionId &region) const
{
    if (this->liveMembers.empty()) {
        return this->self;
    }
    auto found = this->regionGroups.find(region);
    const auto &group = found == this->regionGroups.end() ? this->allMembers : found->second;
    return this->liveMembers[group.memberIndexes[group.hash.first(upstream.value())]];
}

bool OwnershipView::isOwner(const UpstreamId &upstream, const RegionId &region) const
{
    return this->ownerOf(upstream, region).host == this->self.host;
}

bool OwnershipView::isUsedBySelf(const UpstreamId &upstream, const RegionId &region) const
{
    const auto &owner = this->ownerOf(upstream, region).host;
    return owner == this->self.host || this->usedOwners.contains(owner);
}

UpstreamOwnership::UpstreamOwnership(const Membership &membership, const FanoutOptions &options) : membership(membership), options(options)
{
}

std::shared_ptr<const OwnershipView> UpstreamOwnership::current() const
{
    auto self = this->membership.self();
    auto members = this->membership.liveMembers();
    std::lock_guard<std::mutex> guard(this->mutex);
    auto isUnchanged = this->view && std::equal(members.begin(), members.end(), this->view->members().begin(), this->view->members().end(), isSameMember);
    if (!isUnchanged) {
        this->view = std::make_shared<const OwnershipView>(self, members, this->options);
    }
    return this->view;
}

}
