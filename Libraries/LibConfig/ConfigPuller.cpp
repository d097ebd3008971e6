#include <LibConfig/ConfigPuller.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

constexpr Duration pullTimeout = seconds(2);

}

ConfigPuller::ConfigPuller(
    const Clock &clock, RandomSource &random, LogSink &sink, Counters &counters, PeerTransport &transport, const Membership &membership, ConfigStore &store)
    : clock(clock)
    , random(random)
    , logger(sink, "config")
    , transport(transport)
    , membership(membership)
    , store(store)
    , pulls(counters.counter("lovageward_config_pulls_total"))
    , failures(counters.counter("lovageward_config_pull_failures_total"))
{
}

bool ConfigPuller::step()
{
    auto peers = this->peersAhead();
    if (peers.empty()) {
        return false;
    }
    // A random peer spreads the load when a whole region has lost the log.
    const auto &peer = peers[this->random.below(peers.size())];
    this->pulls.add();
    try {
        return this->pullFrom(peer, this->clock.now() + pullTimeout);
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("no configuration from {}: {}", peer.host.value(), error.what());
        return false;
    }
}

std::vector<Member> ConfigPuller::peersAhead() const
{
    auto self = this->membership.self();
    auto applied = this->store.appliedOffset();
    std::vector<Member> ahead;
    std::vector<Member> nearby;
    for (const auto &member : this->membership.liveMembers()) {
        if (member.host == self.host || member.configOffset <= applied) {
            continue;
        }
        ahead.push_back(member);
        if (member.region == self.region) {
            nearby.push_back(member);
        }
    }
    // Bytes between regions are billed.
    return nearby.empty() ? ahead : nearby;
}

bool ConfigPuller::pullFrom(const Member &peer, TimePoint deadline)
{
    auto before = this->store.appliedOffset();
    auto from = this->store.needsCheckpoint() ? Offset(0) : this->store.nextOffset();
    auto answer = this->ask(peer, ConfigPullRequest { from, Offset(0), 0 }, deadline);
    auto newest = answer.applied;
    if (answer.partCount > 0) {
        this->takeState(peer, std::move(answer), deadline);
    } else {
        this->takeRecords(answer);
    }
    auto applied = this->store.appliedOffset();
    if (applied >= newest && this->peersAhead().empty()) {
        this->store.noticePeerEnd(newest);
    }
    return applied > before;
}

ConfigPullAnswer ConfigPuller::ask(const Member &peer, const ConfigPullRequest &request, TimePoint deadline)
{
    PeerMessage message { PeerMessageKind::ConfigPull, this->membership.self().host, encodePullRequest(request) };
    return decodePullAnswer(this->transport.request(peer.peerAddress, message, deadline));
}

void ConfigPuller::takeRecords(const ConfigPullAnswer &answer)
{
    for (const auto &record : answer.records) {
        this->store.applyRecord(record);
    }
}

void ConfigPuller::takeState(const Member &peer, ConfigPullAnswer first, TimePoint deadline)
{
    auto bytes = std::move(first.bytes);
    for (std::uint32_t part = 1; part < first.partCount; ++part) {
        auto next = this->ask(peer, ConfigPullRequest { Offset(0), first.stateAsOf, part }, deadline);
        if (next.stateAsOf != first.stateAsOf || next.part != part) {
            throw Error(ResultCode::MalformedMessage, RunState::NotRun, "the peer's state changed during the transfer");
        }
        bytes += next.bytes;
    }
    auto record = decodeRecord(bytes);
    if (const auto *checkpoint = std::get_if<Checkpoint>(&record)) {
        this->store.adoptCheckpoint(*checkpoint);
    }
}

}
