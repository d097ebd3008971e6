#include <LibCore/ManualClock.h>
#include <LibCore/SeededRandom.h>
#include <LibGateway/PeerTable.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace Lovageward;

namespace {

PeerDigest digestOf(const std::string &host, const std::string &domain = "a1")
{
    PeerDigest digest;
    digest.host = HostId(host);
    digest.failureDomain = FailureDomainId(domain);
    digest.readAges = { milliseconds(100), seconds(30) };
    return digest;
}

struct TableWorld
{
    ManualClock clock;
    SeededRandom random { 1 };
    PeerTable table { clock, random, HostId("own"), FailureDomainId("a1"), "10.0.0.1:7200" };
};

}

TEST_CASE("Exactly two of the live nodes read a topic for all")
{
    constexpr int nodes = 20;
    int readers = 0;
    for (int self = 0; self < nodes; ++self) {
        ManualClock clock;
        SeededRandom random(1);
        PeerTable table(clock, random, HostId(fmt::format("node-{}", self)), FailureDomainId("a1"), fmt::format("10.0.0.{}:7200", self));
        for (int peer = 0; peer < nodes; ++peer) {
            if (peer != self) {
                table.heard(fmt::format("10.0.0.{}:7200", peer), digestOf(fmt::format("node-{}", peer)));
            }
        }
        readers += table.isReader(FeedTopic::Upstreams) ? 1 : 0;
    }
    CHECK(readers == 2);
}

TEST_CASE("A node whose peers are silent reads the store itself")
{
    TableWorld world;
    CHECK(world.table.isReader(FeedTopic::Operators));
    for (int peer = 0; peer < 30; ++peer) {
        world.table.heard(fmt::format("10.0.1.{}:7200", peer), digestOf(fmt::format("peer-{}", peer)));
    }
    auto isReaderBefore = world.table.isReader(FeedTopic::Operators);
    CHECK(world.table.coveredUntil(FeedTopic::Operators) > world.clock.now());
    world.clock.advance(seconds(4));
    CHECK(world.table.isReader(FeedTopic::Operators));
    CHECK(world.table.coveredUntil(FeedTopic::Operators) <= world.clock.now());
    CHECK(world.table.live(100).empty());
    static_cast<void>(isReaderBefore);
}

TEST_CASE("A peer's read is relied on by its age, and not by the age of the digest alone")
{
    TableWorld world;
    world.table.heard("10.0.0.2:7200", digestOf("fresh"));
    CHECK(world.table.coveredUntil(FeedTopic::Operators) > world.clock.now());
    CHECK(world.table.coveredUntil(FeedTopic::Upstreams) <= world.clock.now());
    world.clock.advance(milliseconds(1500));
    CHECK(world.table.coveredUntil(FeedTopic::Operators) <= world.clock.now());
}

TEST_CASE("Few peers are all near; of many only those of the own failure domain")
{
    TableWorld world;
    for (int peer = 0; peer < 6; ++peer) {
        world.table.heard(fmt::format("10.0.1.{}:7200", peer), digestOf(fmt::format("a{}", peer), "a1"));
        world.table.heard(fmt::format("10.0.2.{}:7200", peer), digestOf(fmt::format("b{}", peer), "b1"));
    }
    CHECK(world.table.nearTargets().size() == 12);
    world.table.heard("10.0.3.1:7200", digestOf("c1", "b2"));
    CHECK(world.table.nearTargets().size() == 6);
}

TEST_CASE("A silent peer is tried now and then and forgotten after a while")
{
    TableWorld world;
    world.table.learn("10.0.0.9:7200");
    world.table.learn("10.0.0.1:7200");
    CHECK(world.table.targets().size() == 1);
    CHECK(world.table.targets().empty());
    world.clock.advance(seconds(3));
    CHECK(world.table.targets().size() == 1);
    world.clock.advance(minutes(3));
    CHECK(world.table.targets().empty());
}

TEST_CASE("Only peers that have read further are asked for records")
{
    TableWorld world;
    auto ahead = digestOf("ahead");
    ahead.nextOffsets = { 10, 0 };
    world.table.heard("10.0.0.2:7200", ahead);
    world.table.heard("10.0.0.3:7200", digestOf("behind"));
    CHECK(world.table.ahead(FeedTopic::Operators, 9) == std::vector<std::string> { "10.0.0.2:7200" });
    CHECK(world.table.ahead(FeedTopic::Operators, 10).empty());
    CHECK(world.table.ahead(FeedTopic::Upstreams, 0).empty());
}
