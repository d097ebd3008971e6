#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibGateway/PeerTable.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace Lovageward;

namespace {

constexpr std::size_t minimumNodeCount = 8;

KnownHost makeHost(const std::string &host, const std::string &domain, const std::string &address)
{
    return { HostId(host), FailureDomainId(domain), address };
}

PeerDigest makeDigest(const std::string &host, const std::string &domain = "a1")
{
    PeerDigest digest;
    digest.host = HostId(host);
    digest.failureDomain = FailureDomainId(domain);
    digest.readAges = { milliseconds(100), seconds(30) };
    return digest;
}

struct TableFixture
{
    TableFixture()
    {
        this->clock.advance(minutes(1));
    }

    /** Receives a digest from each of `count` nodes of the failure domain, named DOMAIN-0 and so on. */
    void receiveDigests(const std::string &domain, int count)
    {
        for (int peer = 0; peer < count; ++peer) {
            this->table.applyDigest(fmt::format("{}:{}", domain, peer), makeDigest(fmt::format("{}-{}", domain, peer), domain));
        }
    }

    ManualClock clock;
    SeededRandom random { 1 };
    PeerTable table { clock, random, makeHost("own", "a1", "10.0.0.1:7200"), minimumNodeCount };
};

}

TEST_CASE("Exactly two of the live nodes are readers of a topic")
{
    auto nodes = GENERATE(6, 20);
    int readers = 0;
    for (int self = 0; self < nodes; ++self) {
        ManualClock clock;
        SeededRandom random(1);
        PeerTable table(clock, random, makeHost(fmt::format("node-{}", self), "a1", fmt::format("10.0.0.{}:7200", self)), minimumNodeCount);
        for (int peer = 0; peer < nodes; ++peer) {
            if (peer != self) {
                table.applyDigest(fmt::format("10.0.0.{}:7200", peer), makeDigest(fmt::format("node-{}", peer)));
            }
        }
        readers += table.isReader(FeedTopic::Upstreams) ? 1 : 0;
    }
    CHECK(readers == 2);
}

TEST_CASE("A node whose peers are all silent becomes a reader")
{
    TableFixture fixture;
    CHECK(fixture.table.isReader(FeedTopic::Operators));
    fixture.receiveDigests("a1", 30);
    CHECK(fixture.table.freshUntil(FeedTopic::Operators) > fixture.clock.now());
    fixture.clock.advance(peerTimeout(30));
    CHECK(fixture.table.isReader(FeedTopic::Operators));
    CHECK(fixture.table.freshUntil(FeedTopic::Operators) <= fixture.clock.now());
    CHECK(fixture.table.randomLivePeers(100).empty());
}

TEST_CASE("Trust in a peer's report depends on the age of the store read, not of the digest")
{
    TableFixture fixture;
    fixture.table.applyDigest("10.0.0.2:7200", makeDigest("fresh"));
    CHECK(fixture.table.freshUntil(FeedTopic::Operators) > fixture.clock.now());
    CHECK(fixture.table.freshUntil(FeedTopic::Upstreams) <= fixture.clock.now());
    fixture.clock.advance(milliseconds(1500));
    CHECK(fixture.table.freshUntil(FeedTopic::Operators) <= fixture.clock.now());
}

TEST_CASE("A node repeats a peer's report only if it has all of the peer's records")
{
    TableFixture fixture;
    auto digest = makeDigest("ahead");
    digest.nextOffsets = { 10, 0 };
    fixture.table.applyDigest("10.0.0.2:7200", digest);
    CHECK(fixture.table.freshUntil(FeedTopic::Operators, { StoreEra(), 9 }) <= fixture.clock.now());
    auto freshUntil = fixture.table.freshUntil(FeedTopic::Operators, { StoreEra(), 10 });
    CHECK(freshUntil > fixture.clock.now());
    // Each hop adds 50 ms to the age, so that repeated reports never become younger.
    CHECK(PeerTable::readTimeOf(freshUntil) == fixture.clock.now() - milliseconds(150));
}

TEST_CASE("The group holds all nodes of a small fleet, and only those of the same failure domain in a large one")
{
    TableFixture fixture;
    fixture.receiveDigests("a1", 6);
    fixture.receiveDigests("b1", 6);
    CHECK_FALSE(fixture.table.isHierarchical());
    CHECK(fixture.table.selectGroupTargets().size() == 12);
    CHECK(fixture.table.selectRelayTargets().empty());
    fixture.receiveDigests("b2", 1);
    CHECK(fixture.table.isHierarchical());
    CHECK(fixture.table.selectGroupTargets().size() == 6);
}

TEST_CASE("Each failure domain has two relays, which are replaced when they are silent or leave")
{
    constexpr int nodes = 20;
    auto findRelaysWithout = [](const std::vector<int> &downNodes) {
        auto isDown = [&downNodes](int node) { return std::find(downNodes.begin(), downNodes.end(), node) != downNodes.end(); };
        std::vector<int> relays;
        for (int self = 0; self < nodes; ++self) {
            TableFixture fixture;
            PeerTable table(fixture.clock, fixture.random, makeHost(fmt::format("a1-{}", self), "a1", fmt::format("a1:{}", self)), minimumNodeCount);
            for (int peer = 0; peer < nodes; ++peer) {
                if (peer != self && !isDown(peer)) {
                    table.applyDigest(fmt::format("a1:{}", peer), makeDigest(fmt::format("a1-{}", peer)));
                }
            }
            if (!isDown(self) && table.isRelay()) {
                relays.push_back(self);
            }
        }
        return relays;
    };
    auto relays = findRelaysWithout({});
    REQUIRE(relays.size() == 2);
    CHECK(findRelaysWithout(relays).size() == 2);

    TableFixture fixture;
    fixture.receiveDigests("a1", nodes);
    auto wasRelay = fixture.table.isRelay();
    for (int peer = 0; peer < nodes; ++peer) {
        auto leaving = makeDigest(fmt::format("a1-{}", peer));
        leaving.isLeaving = true;
        fixture.table.applyDigest(fmt::format("a1:{}", peer), leaving);
    }
    CHECK(fixture.table.isRelay());
    CHECK_FALSE(wasRelay);
}

TEST_CASE("A relay sends to two nodes of each other domain, and tries others while those are silent")
{
    TableFixture fixture;
    for (const auto *domain : { "a1", "b1", "b2" }) {
        for (int peer = 0; peer < 10; ++peer) {
            fixture.table.addKnownHost(makeHost(fmt::format("{}-{}", domain, peer), domain, fmt::format("{}:{}", domain, peer)));
        }
    }
    auto first = fixture.table.selectRelayTargets();
    CHECK(first.size() == 4);
    // No node responded, so others are selected.
    auto second = fixture.table.selectRelayTargets();
    CHECK(second.size() == 4);
    CHECK(std::find_first_of(first.begin(), first.end(), second.begin(), second.end()) == first.end());
    for (const auto *address : { "b1:3", "b1:7", "b2:5" }) {
        auto relay = makeDigest(address, std::string(address, 2));
        relay.isRelay = true;
        fixture.table.applyDigest(address, relay);
    }
    auto targets = fixture.table.selectRelayTargets();
    CHECK(targets.size() == 4);
    for (const auto *address : { "b1:3", "b1:7", "b2:5" }) {
        CHECK(std::count(targets.begin(), targets.end(), address) == 1);
    }
}

TEST_CASE("Nodes of other domains are counted from relay summaries, and a node without peers assumes the lowest node count")
{
    TableFixture fixture;
    CHECK(fixture.table.nodeCount() == minimumNodeCount);
    fixture.receiveDigests("a1", 15);
    auto relay = makeDigest("a1-0");
    relay.summary = FleetSummary { 285, { DomainPoolLoad { FailureDomainId("b1"), PoolId("engines"), UpstreamLoad { 3, 9000, 0 } } }, {} };
    auto sum = fixture.table.applySummary(relay);
    CHECK(sum.nodeCount == 285);
    CHECK(sum.areas.size() == 1);
    CHECK(fixture.table.nodeCount() == 301);
    fixture.clock.advance(seconds(7));
    CHECK(fixture.table.nodeCount() == minimumNodeCount);
    // Nodes that the store names are presumed live.
    for (int peer = 0; peer < 99; ++peer) {
        fixture.table.addKnownHost(makeHost(fmt::format("b1-{}", peer), "b1", fmt::format("b1:{}", peer)));
    }
    CHECK(fixture.table.nodeCount() == 100);
}

TEST_CASE("A relay adds the summaries of the other domains and counts each domain once")
{
    TableFixture fixture;
    fixture.receiveDigests("a1", 1);
    fixture.receiveDigests("b1", 20);
    REQUIRE(fixture.table.isRelay());
    for (const auto *host : { "b1-0", "b1-1" }) {
        auto relay = makeDigest(host, "b1");
        relay.summary = FleetSummary { 50, {}, {} };
        fixture.table.applySummary(relay);
    }
    auto relay = makeDigest("b2-0", "b2");
    relay.summary = FleetSummary { 49, {}, {} };
    CHECK(fixture.table.applySummary(relay).nodeCount == 99);
    // The other relay of its own domain sends the same sum, which isn't added.
    auto own = makeDigest("a1-0", "a1");
    own.summary = FleetSummary { 99, {}, {} };
    CHECK(fixture.table.applySummary(own).nodeCount == 99);
}

TEST_CASE("Relays keep trying a region that is unreachable for an hour, and a node that was cut off tries all its peers again")
{
    TableFixture fixture;
    for (const auto *domain : { "a1", "b1" }) {
        for (int peer = 0; peer < 20; ++peer) {
            fixture.table.addKnownHost(makeHost(fmt::format("{}-{}", domain, peer), domain, fmt::format("{}:{}", domain, peer)));
        }
    }
    fixture.receiveDigests("a1", 20);
    CHECK(fixture.table.selectRelayTargets().size() == 2);
    for (int minute = 0; minute < 60; ++minute) {
        fixture.clock.advance(minutes(1));
        fixture.receiveDigests("a1", 20);
    }
    CHECK(fixture.table.selectRelayTargets().size() == 2);

    fixture.clock.advance(minutes(60));
    REQUIRE_FALSE(fixture.table.isHierarchical());
    CHECK(fixture.table.selectGroupTargets().size() == 40);
}

TEST_CASE("A silent peer is retried at intervals, and less often once it counts as lost")
{
    TableFixture fixture;
    fixture.table.addKnownHost(makeHost("", "", "10.0.0.9:7200"));
    fixture.table.addKnownHost(makeHost("", "", "10.0.0.1:7200"));
    CHECK(fixture.table.selectGroupTargets().size() == 1);
    CHECK(fixture.table.selectGroupTargets().empty());
    fixture.clock.advance(seconds(3));
    CHECK(fixture.table.selectGroupTargets().size() == 1);
    fixture.clock.advance(minutes(3));
    std::size_t tries = 0;
    for (int second = 0; second < 60; ++second) {
        // The store keeps naming it, which doesn't make it presumed live again.
        fixture.table.addKnownHost(makeHost("old", "a1", "10.0.0.9:7200"));
        tries += fixture.table.selectGroupTargets().size();
        fixture.clock.advance(seconds(1));
    }
    CHECK(tries == 2);
    CHECK(fixture.table.groupPeerCount() == 0);
}

TEST_CASE("Nodes of a small fleet list the topics at once, those of a large fleet wait for their relays first")
{
    TableFixture fixture;
    fixture.receiveDigests("a1", 5);
    CHECK(fixture.table.drawListingDelay() == Duration(0));
    fixture.receiveDigests("a1", 15);
    for (int draw = 0; draw < 100; ++draw) {
        auto delay = fixture.table.drawListingDelay();
        CHECK(delay >= milliseconds(400));
        CHECK(delay <= milliseconds(400 + 15 * 200));
    }
}

TEST_CASE("Discovery is complete once the registered nodes were read from the store, or after a timeout")
{
    TableFixture fixture;
    PeerTable table(fixture.clock, fixture.random, makeHost("own", "a1", "10.0.0.1:7200"), minimumNodeCount);
    CHECK_FALSE(table.isDiscoveryComplete());
    table.markDirectoryRead();
    CHECK(table.isDiscoveryComplete());
    PeerTable other(fixture.clock, fixture.random, makeHost("own", "a1", "10.0.0.1:7200"), minimumNodeCount);
    fixture.clock.advance(milliseconds(700));
    CHECK(other.isDiscoveryComplete());
}

TEST_CASE("Records are requested only from peers with a higher next offset, those of the same domain first")
{
    TableFixture fixture;
    for (int peer = 0; peer < 4; ++peer) {
        auto remote = makeDigest(fmt::format("b1-{}", peer), "b1");
        remote.nextOffsets = { 10, 0 };
        fixture.table.applyDigest(fmt::format("b1:{}", peer), remote);
    }
    auto newer = makeDigest("ahead");
    newer.nextOffsets = { 10, 0 };
    fixture.table.applyDigest("10.0.0.2:7200", newer);
    fixture.table.applyDigest("10.0.0.3:7200", makeDigest("behind"));
    auto found = fixture.table.peersWithNewerRecords(FeedTopic::Operators, { StoreEra(), 9 });
    CHECK(found.size() == 5);
    CHECK(found.front() == "10.0.0.2:7200");
    CHECK(fixture.table.peersWithNewerRecords(FeedTopic::Operators, { StoreEra(), 10 }).empty());
    CHECK(fixture.table.peersWithNewerRecords(FeedTopic::Upstreams, { StoreEra(), 0 }).empty());
}

// Guards against a node that trusts the silence of peers which still read the store's old era, and that requests records from them.
TEST_CASE("Once a peer has read a new era, reports on the old one aren't trusted and records are requested only in the new one")
{
    TableFixture fixture;
    auto older = makeDigest("older");
    older.nextOffsets = { 10, 0 };
    fixture.table.applyDigest("10.0.0.2:7200", older);
    CHECK(fixture.table.freshUntil(FeedTopic::Operators) > fixture.clock.now());
    CHECK(fixture.table.freshUntil(FeedTopic::Operators, StoreEra(1)) <= fixture.clock.now());
    CHECK(fixture.table.freshUntil(FeedTopic::Operators, { StoreEra(1), 10 }) <= fixture.clock.now());
    CHECK(fixture.table.peersWithNewerRecords(FeedTopic::Operators, { StoreEra(0), 9 }).size() == 1);
    auto newer = makeDigest("newer");
    newer.nextOffsets = { 5, 0 };
    newer.eras = { StoreEra(1), StoreEra(0) };
    fixture.table.applyDigest("10.0.0.3:7200", newer);
    CHECK(fixture.table.freshUntil(FeedTopic::Operators, StoreEra(1)) > fixture.clock.now());
    CHECK(fixture.table.peersWithNewerRecords(FeedTopic::Operators, { StoreEra(0), 9 }) == std::vector<std::string> { "10.0.0.3:7200" });
}
