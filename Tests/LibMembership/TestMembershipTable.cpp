#include <LibCore/SeededRandom.h>
#include <LibMembership/MembershipTable.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

constexpr auto start = TimePoint(seconds(100));

Member member(const std::string &host, std::uint64_t incarnation)
{
    return { HostId(host), Incarnation(incarnation), RegionId("r"), FailureDomainId("d"), PeerAddress("tcp://127.0.0.1:1"), Offset(0) };
}

MemberUpdate update(const std::string &host, std::uint64_t incarnation, MemberState state)
{
    return { HostId(host), Incarnation(incarnation), state, PeerAddress("tcp://127.0.0.1:1"), RegionId("r"), FailureDomainId("d") };
}

/** Message of the node "z" about others. */
GossipMessage news(const std::vector<MemberUpdate> &updates)
{
    GossipMessage message;
    message.self = update("z", 1, MemberState::Alive);
    message.updates = updates;
    return message;
}

ListedHost listed(const std::string &host)
{
    return { host, HostKind::Entry, PoolId(), RegionId("r"), FailureDomainId("d"), "", PeerAddress("tcp://127.0.0.1:1"), false };
}

/** Table of the node "a", which has heard the member "b" itself in a state. */
MembershipTable tableWith(MemberState state, std::uint64_t incarnation)
{
    MembershipTable table(member("a", 7), start);
    GossipMessage hello;
    hello.self = update("b", incarnation, MemberState::Alive);
    table.merge(hello, start);
    if (state != MemberState::Alive) {
        table.merge(news({ update("b", incarnation, state) }), start);
    }
    return table;
}

bool isLive(const MembershipTable &table, const std::string &host)
{
    auto members = table.liveMembers();
    return std::any_of(members.begin(), members.end(), [&host](const auto &live) { return live.host == HostId(host); });
}

}

TEST_CASE("Updates override what is known by incarnation and state only, in whatever order they arrive", "[membership]")
{
    using enum MemberState;
    struct Case
    {
        MemberState known;
        std::uint64_t incarnation;
        MemberState news;
        MemberState expected;
        bool isLive;
    };
    // The member is known at incarnation 5.
    std::vector<Case> cases = {
        { Alive, 4, Dead, Alive, true },       { Alive, 5, Suspect, Suspect, true },    { Alive, 5, Dead, Dead, false },
        { Alive, 6, Leaving, Leaving, false }, { Suspect, 5, Alive, Suspect, true },    { Suspect, 6, Alive, Alive, true },
        { Suspect, 4, Dead, Suspect, true },   { Suspect, 5, Dead, Dead, false },       { Dead, 5, Alive, Dead, false },
        { Dead, 4, Alive, Dead, false },       { Dead, 6, Alive, Alive, true },         { Dead, 6, Suspect, Dead, false },
        { Leaving, 5, Alive, Leaving, false }, { Leaving, 5, Suspect, Suspect, false }, { Leaving, 6, Alive, Alive, true },
        { Alive, 0, Dead, Suspect, true },     { Alive, 0, Suspect, Suspect, true },    { Dead, 0, Suspect, Dead, false },
    };
    for (const auto &test : cases) {
        auto table = tableWith(test.known, 5);
        table.merge(news({ update("b", test.incarnation, test.news) }), start);
        INFO("known " << static_cast<int>(test.known) << ", news " << static_cast<int>(test.news) << " at " << test.incarnation);
        CHECK(table.stateOf(HostId("b")) == test.expected);
        CHECK(isLive(table, "b") == test.isLive);
    }
}

TEST_CASE("A node that is taken for suspect or dead refutes it, and one with an old clock still overrides its former run", "[membership]")
{
    struct Case
    {
        std::uint64_t incarnation;
        MemberState state;
        std::uint64_t expected;
    };
    std::vector<Case> cases = {
        { 7, MemberState::Suspect, 8 }, { 7, MemberState::Dead, 8 }, { 12, MemberState::Alive, 13 }, { 6, MemberState::Dead, 7 }, { 7, MemberState::Alive, 7 }
    };
    for (const auto &test : cases) {
        MembershipTable table(member("a", 7), start);
        table.merge(news({ update("a", test.incarnation, test.state) }), start);
        CHECK(table.selfMember().incarnation == Incarnation(test.expected));
        CHECK(table.messageTo(HostId("z")).self.state == MemberState::Alive);
    }
}

TEST_CASE("A forgotten member can't be brought back by the updates of others, only by itself", "[membership]")
{
    auto table = tableWith(MemberState::Dead, 5);
    auto later = start + minutes(11);
    table.advance(start + minutes(9));
    CHECK(table.stateOf(HostId("b")) == MemberState::Dead);
    table.advance(later);
    CHECK_FALSE(table.stateOf(HostId("b")));
    for (auto state : { MemberState::Dead, MemberState::Suspect, MemberState::Leaving, MemberState::Alive }) {
        table.merge(news({ update("b", 5, state) }), later);
        CHECK_FALSE(isLive(table, "b"));
        CHECK(table.messageTo(HostId("z")).updates.size() <= 1);
    }
    // The hearsay is checked by a probe and dropped when that fails.
    SeededRandom random(1);
    auto targets = table.probeTargets(1, random, later);
    CHECK(std::any_of(targets.begin(), targets.end(), [](const auto &target) { return target.host == HostId("b"); }));
    table.probeFailed(HostId("b"), later);
    CHECK_FALSE(table.stateOf(HostId("b")));
    GossipMessage itself;
    itself.self = update("b", 6, MemberState::Alive);
    table.merge(itself, later);
    CHECK(isLive(table, "b"));
}

TEST_CASE("A dead member stays known while the host list shows it, so that its death isn't found again and again", "[membership]")
{
    auto table = tableWith(MemberState::Dead, 5);
    table.applyHostList({ listed("b") }, start);
    table.advance(start + minutes(60));
    CHECK(table.stateOf(HostId("b")) == MemberState::Dead);
    table.applyHostList({}, start + minutes(60));
    table.advance(start + minutes(69));
    CHECK(table.stateOf(HostId("b")) == MemberState::Dead);
    table.advance(start + minutes(70));
    CHECK_FALSE(table.stateOf(HostId("b")));
}

TEST_CASE("A suspect dies only by failing probes after its deadline, and not when it has been heard meanwhile", "[membership]")
{
    auto table = tableWith(MemberState::Alive, 5);
    table.probeFailed(HostId("b"), start);
    CHECK(table.stateOf(HostId("b")) == MemberState::Suspect);
    table.probeFailed(HostId("b"), start + milliseconds(3999));
    CHECK(table.stateOf(HostId("b")) == MemberState::Suspect);
    GossipMessage hello;
    hello.self = update("b", 5, MemberState::Alive);
    table.merge(hello, start + seconds(3));
    table.probeFailed(HostId("b"), start + milliseconds(6999));
    CHECK(table.stateOf(HostId("b")) == MemberState::Suspect);
    table.probeFailed(HostId("b"), start + seconds(7));
    CHECK(table.stateOf(HostId("b")) == MemberState::Dead);
}

TEST_CASE("A message carries at most eight updates, each a bounded number of times, and those about its receiver first", "[membership]")
{
    MembershipTable table(member("a", 7), start);
    for (std::uint64_t incarnation = 3; incarnation < 5; ++incarnation) {
        for (int index = 0; index < 40; ++index) {
            GossipMessage hello;
            hello.self = update("m" + std::to_string(index), incarnation, MemberState::Alive);
            table.merge(hello, start);
        }
    }
    table.merge(news({ update("m5", 4, MemberState::Suspect) }), start);
    std::size_t sent = 0;
    std::size_t messages = 0;
    for (std::size_t size = 1; size > 0; ++messages) {
        auto message = table.messageTo(HostId("other"));
        size = message.updates.size();
        sent += size;
        CHECK(size <= 8);
        REQUIRE(messages < 1000);
    }
    // The second update of 40 members was queued with 41 or 42 known, and 3 * log2(42) is rounded up to 18. The sender of
    // the suspicion came last.
    CHECK(sent == std::size_t(41) * 18);
    auto toSuspect = table.messageTo(HostId("m5"));
    REQUIRE(toSuspect.updates.size() == 1);
    CHECK(toSuspect.updates.front().state == MemberState::Suspect);
}

TEST_CASE("A starting node gets all members in one message, without unlisted dead ones, and it doesn't repeat them", "[membership]")
{
    auto table = tableWith(MemberState::Dead, 5);
    GossipMessage joining;
    joining.self = update("j", 9, MemberState::Alive);
    joining.wantsAllMembers = true;
    table.merge(joining, start);
    auto answer = table.messageTo(HostId("j"));
    CHECK(answer.holdsAllMembers);
    CHECK(std::none_of(answer.updates.begin(), answer.updates.end(), [](const auto &told) { return told.host == HostId("b"); }));
    MembershipTable joined(member("j", 9), start);
    CHECK(joined.messageTo(HostId("a")).wantsAllMembers);
    joined.merge(answer, start);
    auto next = joined.messageTo(HostId("x"));
    CHECK_FALSE(next.wantsAllMembers);
    CHECK(next.updates.size() <= 1);
}

TEST_CASE("Malformed gossip is refused", "[membership]")
{
    auto good = encodeGossip(tableWith(MemberState::Suspect, 5).messageTo(HostId("b")));
    CHECK(decodeGossip(good).updates.size() == 2);
    for (std::size_t size = 0; size < good.size(); ++size) {
        CHECK_THROWS(decodeGossip(good.substr(0, size)));
    }
}
