#include <LibMembership/AppliedOffsets.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <bit>
#include <string>

namespace Lovageward {

namespace {

// Each update is sent about 3 * log2(n) times, after which the chance that some member missed it is negligible.
constexpr std::size_t disseminationFactor = 3;
// Hosts that are only known by hearsay; bounded because anybody on the network can name some.
constexpr std::size_t maximumUnconfirmed = 64;
constexpr std::size_t extraProbesPerStep = 3;
// Keeps the answer to a node that has just started within the size of one message.
constexpr std::size_t maximumFullList = 700;

/** Keeps `count` random elements. */
void keepSome(std::vector<ProbeTarget> &targets, std::size_t count, RandomSource &random)
{
    auto kept = std::min(count, targets.size());
    for (std::size_t index = 0; index < kept; ++index) {
        std::swap(targets[index], targets[index + random.below(targets.size() - index)]);
    }
    targets.resize(kept);
}

}

MembershipTable::MembershipTable(const Member &self, TimePoint now, const MembershipOptions &options) : selfId(self.host), options(options), lastHeardAt(now)
{
    this->entries[self.host].member = self;
    this->rememberHosts();
}

void MembershipTable::applyHostList(const std::vector<ListedHost> &hosts, TimePoint now)
{
    std::set<HostId> listed;
    for (const auto &row : hosts) {
        if (row.kind == HostKind::Entry) {
            listed.insert(HostId(row.name));
            this->listMember(row);
        }
    }
    this->unlistMembers(listed, now);
    this->rememberHosts();
}

void MembershipTable::listMember(const ListedHost &row)
{
    HostId host(row.name);
    if (!this->entries.contains(host)) {
        this->addMember({ host, Incarnation(0), MemberState::Alive, row.peerAddress, row.region, row.failureDomain }, true);
    }
    auto &entry = this->entries[host];
    entry.isListed = true;
    entry.isConfirmed = true;
    if (entry.isListedLeaving != row.isLeaving) {
        entry.isListedLeaving = row.isLeaving;
        ++this->changes;
    }
}

void MembershipTable::unlistMembers(const std::set<HostId> &listed, TimePoint now)
{
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        auto &[host, entry] = *position;
        auto isRemoved = !listed.contains(host) && this->isOther(host);
        // A listed host that never sent a message is known from the list alone.
        if (isRemoved && entry.isListed && entry.member.incarnation == Incarnation(0)) {
            position = this->entries.erase(position);
            ++this->changes;
            continue;
        }
        if (isRemoved && entry.isListed) {
            entry.isListed = false;
            entry.forgetAt = now + this->options.deadRetention;
        }
        ++position;
    }
}

void MembershipTable::merge(const GossipMessage &message, TimePoint now)
{
    if (!this->isOther(message.self.host)) {
        return;
    }
    this->mergeSender(message, now);
    for (const auto &update : message.updates) {
        this->mergeUpdate(update, now);
        // All members at once would fill this node's messages for minutes, and the others know them already.
        if (message.holdsAllMembers && this->isOther(update.host) && this->entries.contains(update.host)) {
            this->entries[update.host].sendsLeft = 0;
        }
    }
    for (const auto &offsets : message.appliedOffsets) {
        mergeOffsets(this->entries, this->viewHash, offsets);
    }
    if (message.holdsAllMembers) {
        this->wantsAllMembers = false;
    }
    if (message.wantsAllMembers) {
        this->fullListReceiver = message.self.host;
    }
}

void MembershipTable::mergeSender(const GossipMessage &message, TimePoint now)
{
    this->lastHeardAt = now;
    const auto &update = message.self;
    auto &entry = this->entries.contains(update.host) ? this->entries[update.host] : this->addMember(update, true);
    if (!entry.isConfirmed) {
        entry.isConfirmed = true;
        this->queueUpdate(entry);
        ++this->changes;
    }
    if (this->takeUpdate(entry, update, now)) {
        entry.member.configOffset = Offset(0);
    }
    if (update.incarnation == entry.member.incarnation && entry.state == MemberState::Suspect) {
        // The member lives; the messages to it name the suspicion, so it will refute it.
        entry.suspicionDeadline = now + this->options.suspicion;
    }
    entry.member.configOffset = std::max(entry.member.configOffset, message.configOffset);
}

void MembershipTable::mergeUpdate(const MemberUpdate &update, TimePoint now)
{
    if (!this->isOther(update.host)) {
        this->refute(update);
        return;
    }
    auto found = this->entries.find(update.host);
    if (found != this->entries.end()) {
        this->takeUpdate(found->second, update, now);
        return;
    }
    auto isAlive = update.state == MemberState::Alive || update.state == MemberState::Leaving;
    auto unconfirmed = std::count_if(this->entries.begin(), this->entries.end(), [](const auto &item) { return !item.second.isConfirmed; });
    if (isAlive && unconfirmed < static_cast<std::ptrdiff_t>(maximumUnconfirmed)) {
        this->addMember(update, false);
    }
}

MemberEntry &MembershipTable::addMember(const MemberUpdate &update, bool isConfirmed)
{
    auto &entry = this->entries[update.host];
    entry.member = { update.host, update.incarnation, update.region, update.failureDomain, update.peerAddress, Offset(0) };
    entry.state = update.state;
    entry.isLeaving = update.state == MemberState::Leaving;
    entry.isConfirmed = isConfirmed;
    if (isConfirmed && update.incarnation != Incarnation(0)) {
        this->queueUpdate(entry);
    }
    this->rememberHosts();
    ++this->changes;
    return entry;
}

bool MembershipTable::takeUpdate(MemberEntry &entry, const MemberUpdate &news, TimePoint now)
{
    auto update = entry.adjusted(news);
    if (!entry.isOverriddenBy(update)) {
        return false;
    }
    auto isNewer = update.incarnation > entry.member.incarnation;
    // At the start of a cluster every node would repeat the first news of every other for minutes, although all count as alive.
    auto isFirstNews = entry.member.incarnation == Incarnation(0) && update.state == MemberState::Alive && entry.state == MemberState::Alive;
    entry.take(update);
    this->setState(entry, update.state, now);
    if (isFirstNews) {
        entry.sendsLeft = 0;
    }
    return isNewer;
}

void MembershipTable::refute(const MemberUpdate &update)
{
    auto &entry = this->own();
    auto isNewer = update.incarnation > entry.member.incarnation;
    auto isSuspected = update.incarnation == entry.member.incarnation && update.state >= MemberState::Suspect;
    if (!isNewer && !isSuspected) {
        return;
    }
    entry.member.incarnation = Incarnation(update.incarnation.value() + 1);
    ++this->changes;
    // A node that was declared dead has missed the updates of that time.
    this->wantsAllMembers = this->wantsAllMembers || update.state == MemberState::Dead;
}

GossipMessage MembershipTable::messageTo(const HostId &target)
{
    GossipMessage message;
    message.target = target;
    message.self = this->own().toUpdate();
    message.configOffset = this->own().member.configOffset;
    message.wantsAllMembers = this->wantsAllMembers;
    if (this->fullListReceiver == target && !target.isEmpty()) {
        this->addAllMembers(message);
        this->fullListReceiver = HostId();
    } else {
        this->addUpdates(message);
    }
    message.appliedOffsets = summarizeOffsets(this->entries, this->viewHash);
    return message;
}

void MembershipTable::addUpdates(GossipMessage &message)
{
    auto target = this->entries.find(message.target);
    // A member that is taken for suspect or dead must hear it to refute it, however often the update was sent before.
    if (target != this->entries.end() && target->second.state >= MemberState::Suspect) {
        message.updates.push_back(target->second.toUpdate());
    }
    for (auto *entry : this->pendingUpdates()) {
        if (message.updates.size() == this->options.maximumUpdates) {
            break;
        }
        --entry->sendsLeft;
        if (entry->member.host != message.target) {
            message.updates.push_back(entry->toUpdate());
        }
    }
}

void MembershipTable::addAllMembers(GossipMessage &message) const
{
    message.holdsAllMembers = true;
    for (const auto &[host, entry] : this->entries) {
        // Dead members that are not listed are left out, or else joining nodes would keep them known for ever.
        auto isTold = entry.isConfirmed && (entry.state != MemberState::Dead || entry.isListed);
        if (isTold && this->isOther(host) && message.updates.size() < maximumFullList) {
            message.updates.push_back(entry.toUpdate());
        }
    }
}

std::vector<MemberEntry *> MembershipTable::pendingUpdates()
{
    std::vector<MemberEntry *> pending;
    for (auto &[host, entry] : this->entries) {
        if (entry.sendsLeft > 0 && entry.isConfirmed && this->isOther(host)) {
            pending.push_back(&entry);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto *left, const auto *right) { return left->sendsLeft > right->sendsLeft; });
    return pending;
}

void MembershipTable::advance(TimePoint now)
{
    ++this->steps;
    auto forgotten = std::erase_if(this->entries, [now](const auto &item) {
        const auto &entry = item.second;
        return entry.state == MemberState::Dead && !entry.isListed && entry.forgetAt <= now;
    });
    if (forgotten > 0) {
        this->rememberHosts();
    }
}

std::vector<ProbeTarget> MembershipTable::probeTargets(std::uint64_t round, RandomSource &random, TimePoint now) const
{
    std::vector<ProbeTarget> extra;
    for (const auto &[host, entry] : this->entries) {
        if (this->needsExtraProbe(entry, now)) {
            extra.push_back(entry.toTarget());
        }
    }
    // When many members are lost at once, the nodes share the probes by chance.
    keepSome(extra, extraProbesPerStep, random);
    auto next = this->successor(round);
    auto isNext = [&next](const auto &target) { return next && target.host == next->host; };
    if (next && std::none_of(extra.begin(), extra.end(), isNext)) {
        extra.push_back(*next);
    }
    auto dead = this->steps % this->options.deadProbeInterval == 0 ? this->deadListed(random) : std::nullopt;
    if (dead) {
        extra.push_back(*dead);
    }
    return extra;
}

bool MembershipTable::needsExtraProbe(const MemberEntry &entry, TimePoint now) const
{
    auto isSuspect = entry.state == MemberState::Suspect;
    auto isDue = entry.isOwnSuspicion || entry.suspicionDeadline - this->options.confirmation <= now;
    return (isSuspect && isDue) || (!entry.isConfirmed && entry.state != MemberState::Dead);
}

std::optional<ProbeTarget> MembershipTable::successor(std::uint64_t round) const
{
    auto ownPlace = RendezvousHash::score(this->selfId, std::to_string(round));
    std::optional<ProbeTarget> next;
    std::uint64_t leastDistance = 0;
    for (const auto &[host, entry] : this->entries) {
        if (!this->isOther(host) || entry.state == MemberState::Dead || !entry.isConfirmed) {
            continue;
        }
        // Unsigned differences wrap around, which closes the circle.
        auto distance = RendezvousHash::score(host, std::to_string(round)) - ownPlace;
        if (!next || distance < leastDistance) {
            next = entry.toTarget();
            leastDistance = distance;
        }
    }
    return next;
}

std::optional<ProbeTarget> MembershipTable::deadListed(RandomSource &random) const
{
    std::optional<ProbeTarget> chosen;
    std::uint64_t seen = 0;
    for (const auto &[host, entry] : this->entries) {
        if (entry.state == MemberState::Dead && entry.isListed && random.below(++seen) == 0) {
            chosen = entry.toTarget();
        }
    }
    return chosen;
}

std::vector<ProbeTarget> MembershipTable::helpersFor(const HostId &target, std::size_t count, RandomSource &random) const
{
    std::vector<ProbeTarget> helpers;
    for (const auto &[host, entry] : this->entries) {
        if (this->isOther(host) && host != target && entry.state < MemberState::Suspect && entry.isConfirmed) {
            helpers.push_back(entry.toTarget());
        }
    }
    keepSome(helpers, count, random);
    return helpers;
}

void MembershipTable::probeFailed(const HostId &host, TimePoint now)
{
    auto found = this->entries.find(host);
    if (found == this->entries.end()) {
        return;
    }
    auto &entry = found->second;
    if (!entry.isConfirmed) {
        this->entries.erase(found);
        this->rememberHosts();
        ++this->changes;
    } else if (entry.state < MemberState::Suspect) {
        this->setState(entry, MemberState::Suspect, now);
        entry.isOwnSuspicion = true;
    } else if (entry.state == MemberState::Suspect && entry.suspicionDeadline <= now) {
        this->setState(entry, MemberState::Dead, now);
    }
}

void MembershipTable::requestAllMembers()
{
    this->wantsAllMembers = true;
}

void MembershipTable::setConfigOffset(Offset offset)
{
    this->own().member.configOffset = std::max(this->own().member.configOffset, offset);
}

void MembershipTable::leave()
{
    auto &entry = this->own();
    if (!entry.isLeaving) {
        entry.isLeaving = true;
        entry.member.incarnation = Incarnation(entry.member.incarnation.value() + 1);
        ++this->changes;
    }
}

Member MembershipTable::selfMember() const
{
    return this->own().member;
}

std::vector<Member> MembershipTable::liveMembers() const
{
    std::vector<Member> members;
    for (const auto &[host, entry] : this->entries) {
        if (entry.isLive()) {
            members.push_back(entry.member);
        }
    }
    return members;
}

bool MembershipTable::canReachAnyPeer(TimePoint now) const
{
    auto hasOthers = std::any_of(this->entries.begin(), this->entries.end(), [this](const auto &item) {
        return this->isOther(item.first) && (item.second.isListed || item.second.isLive());
    });
    return !hasOthers || this->lastHeardAt + this->options.isolation >= now;
}

std::optional<MemberState> MembershipTable::stateOf(const HostId &host) const
{
    auto found = this->entries.find(host);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return found->second.state;
}

void MembershipTable::setState(MemberEntry &entry, MemberState state, TimePoint now)
{
    entry.state = state;
    entry.isOwnSuspicion = false;
    entry.suspicionDeadline = now + this->options.suspicion;
    entry.forgetAt = now + this->options.deadRetention;
    this->queueUpdate(entry);
    ++this->changes;
}

void MembershipTable::queueUpdate(MemberEntry &entry) const
{
    entry.sendsLeft = disseminationFactor * static_cast<std::size_t>(std::bit_width(this->entries.size()));
}

void MembershipTable::rememberHosts()
{
    this->viewHash = viewHashOf(this->entries);
}

MemberEntry &MembershipTable::own()
{
    return this->entries.at(this->selfId);
}

const MemberEntry &MembershipTable::own() const
{
    return this->entries.at(this->selfId);
}

}
