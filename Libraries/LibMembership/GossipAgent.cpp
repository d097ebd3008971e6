#include <LibCore/Error.h>
#include <LibMembership/GossipAgent.h>
#include <LibMembership/RendezvousHash.h>

#include <algorithm>
#include <iterator>

namespace Lovageward {

struct GossipAgent::Owners
{
    std::vector<Member> members;
    RendezvousHash hash;
};

namespace {

std::vector<HostId> hostsOf(const std::vector<Member> &members)
{
    std::vector<HostId> hosts;
    hosts.reserve(members.size());
    for (const auto &member : members) {
        hosts.push_back(member.host);
    }
    return hosts;
}

}

GossipAgent::GossipAgent(const Clock &clock,
                         RandomSource &random,
                         PeerTransport &transport,
                         ParallelRunner &runner,
                         LogSink &sink,
                         Counters &counters,
                         const Member &self,
                         const GossipOptions &options)
    : clock(clock)
    , random(random)
    , transport(transport)
    , runner(runner)
    , logger(sink, "members")
    , options(options)
    , selfId(self.host)
    , probes(counters.counter("lovageward_probes_total"))
    , failedProbes(counters.counter("lovageward_probes_failed_total"))
    , liveGauge(counters.counter("lovageward_live_members"))
    , table(self, clock.now(), options.membership)
    , lastStepAt(clock.now())
{
}

TimePoint GossipAgent::step()
{
    auto startedAt = this->clock.now();
    auto attempts = this->dueProbes();
    this->probeDirectly(attempts);
    this->probeIndirectly(attempts);
    {
        std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &attempt : attempts) {
            if (!attempt.isAnswered) {
                this->table.probeFailed(attempt.target.host, this->clock.now());
            }
        }
        this->noteChanges();
    }
    return startedAt + this->options.probePeriod;
}

std::vector<GossipAgent::Attempt> GossipAgent::dueProbes()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    if (now - this->lastStepAt > this->options.membership.suspicion) {
        // This node was paused and has missed updates.
        this->table.requestAllMembers();
    }
    this->lastStepAt = now;
    this->table.advance(now);
    std::vector<Attempt> attempts;
    auto round = static_cast<std::uint64_t>(this->clock.wallNow().time_since_epoch() / this->options.probePeriod);
    for (const auto &target : this->table.probeTargets(round, this->random, now)) {
        attempts.push_back({ target, false });
    }
    return attempts;
}

void GossipAgent::probeDirectly(std::vector<Attempt> &attempts)
{
    this->runner.runAll(attempts.size(), [this, &attempts](auto index) { attempts[index].isAnswered = this->sendProbe(attempts[index].target); });
}

void GossipAgent::probeIndirectly(std::vector<Attempt> &attempts)
{
    struct Detour
    {
        ProbeTarget helper;
        Attempt *attempt;
        bool isReached;
    };
    std::vector<Detour> detours;
    for (auto &attempt : attempts) {
        if (attempt.isAnswered) {
            continue;
        }
        std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &helper : this->table.helpersFor(attempt.target.host, this->options.helpers, this->random)) {
            detours.push_back({ helper, &attempt, false });
        }
    }
    this->runner.runAll(detours.size(), [this, &detours](auto index) {
        auto &detour = detours[index];
        detour.isReached = this->sendIndirectProbe(detour.helper, detour.attempt->target);
    });
    for (const auto &detour : detours) {
        detour.attempt->isAnswered = detour.attempt->isAnswered || detour.isReached;
    }
}

bool GossipAgent::sendProbe(const ProbeTarget &target)
{
    this->probes.add();
    try {
        auto encoded = encodeGossip(this->outgoing(target.host));
        auto deadline = this->clock.now() + this->options.directTimeout;
        auto answer = decodeGossip(this->transport.request(target.peerAddress, { PeerMessageKind::Probe, this->selfId, encoded }, deadline));
        this->incoming(answer);
        return answer.self.host == target.host;
    } catch (const Error &error) {
        this->failedProbes.add();
        this->logger.debug("no answer from {}: {}", target.host.value(), error.what());
        return false;
    }
}

bool GossipAgent::sendIndirectProbe(const ProbeTarget &helper, const ProbeTarget &target)
{
    try {
        auto gossip = this->outgoing(target.host);
        auto encoded = encodeIndirectProbe({ target.peerAddress, gossip });
        auto deadline = this->clock.now() + this->options.indirectTimeout;
        auto bytes = this->transport.request(helper.peerAddress, { PeerMessageKind::IndirectProbe, this->selfId, encoded }, deadline);
        auto answer = decodeIndirectAnswer(bytes);
        this->incoming(answer.gossip);
        return answer.isReached;
    } catch (const Error &error) {
        this->logger.debug("no indirect answer through {}: {}", helper.host.value(), error.what());
        return false;
    }
}

GossipMessage GossipAgent::outgoing(const HostId &target)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.messageTo(target);
}

void GossipAgent::incoming(const GossipMessage &message)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->table.merge(message, this->clock.now());
}

std::string GossipAgent::handle(const PeerMessage &message)
{
    if (message.kind == PeerMessageKind::IndirectProbe) {
        return this->answerIndirectProbe(message);
    }
    return this->answerProbe(message);
}

std::string GossipAgent::answerProbe(const PeerMessage &message)
{
    auto probe = decodeGossip(message.payload);
    if (probe.target != this->selfId) {
        throw Error(ResultCode::NotFound, RunState::NotRun, "a probe for " + probe.target.value() + ", whose address this node has now");
    }
    std::lock_guard<std::mutex> guard(this->mutex);
    this->table.merge(probe, this->clock.now());
    return encodeGossip(this->table.messageTo(probe.self.host));
}

std::string GossipAgent::answerIndirectProbe(const PeerMessage &message)
{
    auto request = decodeIndirectProbe(message.payload);
    this->incoming(request.gossip);
    auto isReached = this->sendProbe({ request.gossip.target, request.targetAddress });
    return encodeIndirectAnswer({ isReached, this->outgoing(request.gossip.self.host) });
}

void GossipAgent::hostListFetched(const std::vector<ListedHost> &hosts)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->table.applyHostList(hosts, this->clock.now());
}

Member GossipAgent::self() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.selfMember();
}

std::vector<Member> GossipAgent::liveMembers() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.liveMembers();
}

Member GossipAgent::ownerOf(std::string_view key) const
{
    auto current = this->currentOwners();
    if (current->members.empty()) {
        return this->self();
    }
    return current->members[current->hash.first(key)];
}

bool GossipAgent::canReachAnyPeer() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.canReachAnyPeer(this->clock.now());
}

void GossipAgent::setConfigOffset(Offset offset)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->table.setConfigOffset(offset);
}

void GossipAgent::leave()
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->table.leave();
}

std::optional<MemberState> GossipAgent::stateOf(const HostId &host) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->table.stateOf(host);
}

std::shared_ptr<const GossipAgent::Owners> GossipAgent::currentOwners() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->owners || this->ownersVersion != this->table.version()) {
        auto members = this->table.liveMembers();
        auto hosts = hostsOf(members);
        this->owners = std::make_shared<const Owners>(Owners { std::move(members), RendezvousHash(hosts) });
        this->ownersVersion = this->table.version();
    }
    return this->owners;
}

void GossipAgent::noteChanges()
{
    if (this->notedVersion == this->table.version()) {
        return;
    }
    this->notedVersion = this->table.version();
    auto live = hostsOf(this->table.liveMembers());
    std::vector<HostId> lost;
    std::set_difference(this->notedLive.begin(), this->notedLive.end(), live.begin(), live.end(), std::back_inserter(lost));
    std::vector<HostId> gained;
    std::set_difference(live.begin(), live.end(), this->notedLive.begin(), this->notedLive.end(), std::back_inserter(gained));
    for (const auto &host : lost) {
        this->logger.info("{} is no longer live", host.value());
    }
    for (const auto &host : gained) {
        this->logger.info("{} is live", host.value());
    }
    this->notedLive = std::move(live);
    this->liveGauge.set(static_cast<std::int64_t>(this->notedLive.size()));
}

}
