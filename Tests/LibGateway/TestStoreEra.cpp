#include "SimulatedFleet.h"

#include <LibGateway/HostDirectoryTask.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

const StoreEra firstEra(0);
const StoreEra secondEra(1);

bool isUsable(FollowerFixture &fixture, const std::string &upstream)
{
    return fixture.registry.isUsable(UpstreamId(upstream));
}

/** A directory that counts the announcements. */
class FakeDirectory final : public HostDirectory
{
public:
    StoreEra announce(const KnownHost & /*host*/, TimePoint /*deadline*/) override
    {
        ++this->announceCount;
        return this->era;
    }

    HostListing hosts(TimePoint /*deadline*/) override
    {
        return { {}, this->era };
    }

    StoreEra era;
    int announceCount = 0;
};

/** Steps until the follower has listed the topic again. */
void stepUntilListed(FollowerFixture &fixture)
{
    for (int step = 0; step < 3; ++step) {
        fixture.follower.step();
    }
}

}

// Guards against records at reassigned offsets that are taken for records already read.
TEST_CASE("After a restoration a reader applies the records at reassigned offsets, whatever a read beyond the end returns")
{
    for (bool isLenient : { false, true }) {
        FollowerFixture fixture(FeedTopic::Upstreams);
        fixture.feed.isLenientBeyondEnd = isLenient;
        for (const auto *id : { "e1", "e2", "e3", "e4" }) {
            fixture.feed.write(id, "ready 1");
        }
        fixture.follower.step();
        fixture.feed.restore(1);
        fixture.feed.write("e5", "ready 1");
        fixture.feed.write("e2", "draining 2");
        stepUntilListed(fixture);
        CHECK(isUsable(fixture, "e5"));
        CHECK_FALSE(isUsable(fixture, "e2"));
        CHECK(fixture.mirror.nextPosition(FeedTopic::Upstreams) == FeedPosition { secondEra, 3 });
    }
}

TEST_CASE("Records at offsets that a node has read in an older era are applied when a reader in the new era reads on")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 1");
    fixture.feed.write("e2", "ready 1");
    fixture.follower.step();
    fixture.feed.restore(1);
    fixture.feed.write("e3", "ready 1");
    fixture.feed.write("e1", "draining 2");
    stepUntilListed(fixture);
    CHECK(isUsable(fixture, "e3"));
    CHECK_FALSE(isUsable(fixture, "e1"));
    fixture.feed.write("e3", "draining 2");
    fixture.follower.step();
    CHECK_FALSE(isUsable(fixture, "e3"));
}

// Guards against new work for upstreams whose end only the lost records show.
TEST_CASE("A record of the copy revives neither a draining, a removed nor a replaced process")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    for (const auto *id : { "drains", "removed", "replaced" }) {
        fixture.feed.write(id, "ready 4");
    }
    fixture.follower.step();
    fixture.feed.write("drains", "draining 5");
    fixture.feed.write("removed", "");
    fixture.feed.write("replaced", "draining 1 second");
    fixture.follower.step();
    fixture.feed.restore(3);
    stepUntilListed(fixture);
    REQUIRE(fixture.mirror.nextPosition(FeedTopic::Upstreams).era == secondEra);
    CHECK_FALSE(isUsable(fixture, "drains"));
    CHECK_FALSE(isUsable(fixture, "removed"));
    CHECK_FALSE(isUsable(fixture, "replaced"));
    // A node that starts now gets the records that this node knows, not those of the copy.
    FollowerFixture starting(FeedTopic::Upstreams);
    starting.peers.source = &fixture.mirror;
    starting.follower.step();
    CHECK(starting.follower.hasSynced());
    CHECK_FALSE(isUsable(starting, "drains"));
    CHECK_FALSE(isUsable(starting, "removed"));
    CHECK_FALSE(isUsable(starting, "replaced"));

    fixture.feed.write("removed", "ready 5");
    fixture.feed.write("replaced", "ready 1 third");
    fixture.follower.step();
    CHECK(isUsable(fixture, "removed"));
    CHECK(isUsable(fixture, "replaced"));
}

TEST_CASE("Keys and drains that the copy lacks are kept until they are written again, and end after the grace period otherwise")
{
    FollowerFixture upstreams(FeedTopic::Upstreams);
    upstreams.feed.write("e1", "ready 1");
    upstreams.feed.write("returns", "ready 1");
    upstreams.feed.write("gone", "ready 1");
    upstreams.follower.step();
    upstreams.feed.restore(1);
    stepUntilListed(upstreams);
    CHECK(isUsable(upstreams, "returns"));
    CHECK(isUsable(upstreams, "gone"));
    upstreams.feed.write("returns", "ready 1");
    upstreams.clock.advance(seconds(9));
    upstreams.follower.step();
    CHECK(isUsable(upstreams, "gone"));
    upstreams.clock.advance(seconds(2));
    upstreams.follower.step();
    CHECK(isUsable(upstreams, "returns"));
    CHECK_FALSE(isUsable(upstreams, "gone"));

    FollowerFixture operators(FeedTopic::Operators);
    operators.feed.write("config", "3");
    operators.follower.step();
    operators.feed.write("a2", "drained");
    operators.feed.write("config", "4");
    operators.follower.step();
    operators.feed.restore(1);
    stepUntilListed(operators);
    CHECK(operators.config.current()->version() == ConfigVersion(4));
    CHECK(operators.registry.drainedDomains().contains(FailureDomainId("a2")));
    operators.clock.advance(seconds(11));
    operators.follower.step();
    CHECK(operators.registry.drainedDomains().empty());
    CHECK(operators.config.current()->version() == ConfigVersion(4));
}

// Guards against a revoked key that a node accepts which has started after the restoration.
TEST_CASE("A node that starts after a restoration gets the newest configuration and the missing drains from a peer")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.write("config", "3");
    fixture.follower.step();
    fixture.feed.write("config", "4");
    fixture.feed.write("a2", "drained");
    fixture.follower.step();
    fixture.feed.restore(1);
    stepUntilListed(fixture);
    FollowerFixture starting(FeedTopic::Operators);
    starting.peers.source = &fixture.mirror;
    starting.follower.step();
    CHECK(starting.config.current()->version() == ConfigVersion(4));
    CHECK(starting.registry.drainedDomains().contains(FailureDomainId("a2")));
    starting.clock.advance(seconds(11));
    starting.feed.restore(0);
    stepUntilListed(starting);
    CHECK(starting.registry.drainedDomains().empty());
}

// Guards against a reader that starts with the configuration of the copy although its peers hold a newer one.
TEST_CASE("A reader that starts after a restoration waits a short time for a peer's records before it lists the topic")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.restore(0);
    fixture.feed.write("config", "3");
    fixture.storeEras.record(secondEra);
    fixture.peers.listingDelay = Duration(0);
    fixture.follower.step();
    CHECK(fixture.feed.callCount == 0);
    SECTION("A peer has records")
    {
        FeedMirror peer;
        peer.putIfNewer(FeedTopic::Operators, FeedRecord { "config", "4", 0, secondEra });
        peer.advanceTo(FeedTopic::Operators, { secondEra, 1 });
        fixture.peers.source = &peer;
        fixture.follower.step();
        CHECK(fixture.config.current()->version() == ConfigVersion(4));
        CHECK(fixture.feed.callCount == 0);
    }
    SECTION("No peer responds")
    {
        fixture.clock.advance(milliseconds(300));
        fixture.follower.step();
        CHECK(fixture.config.current()->version() == ConfigVersion(3));
    }
}

TEST_CASE("Batches and pages of an older era are discarded")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 1");
    fixture.follower.step();
    fixture.feed.restore(1);
    stepUntilListed(fixture);
    fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "e1", "draining 2", 1 } }, 2 } });
    fixture.follower.step();
    CHECK(isUsable(fixture, "e1"));

    FeedMirror older;
    older.putIfNewer(FeedTopic::Upstreams, FeedRecord { "old", "ready 1", 6 });
    older.advanceTo(FeedTopic::Upstreams, { firstEra, 7 });
    fixture.peers.source = &older;
    fixture.feed.isDown = true;
    fixture.follower.step();
    CHECK_FALSE(isUsable(fixture, "old"));
    CHECK(fixture.mirror.nextPosition(FeedTopic::Upstreams) == FeedPosition { secondEra, 1 });

    FollowerFixture starting(FeedTopic::Upstreams);
    starting.storeEras.record(secondEra);
    starting.peers.source = &older;
    starting.feed.isDown = true;
    starting.follower.step();
    CHECK_FALSE(starting.follower.hasSynced());
    CHECK_FALSE(isUsable(starting, "old"));
}

TEST_CASE("A late response of the old era is discarded")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 1");
    fixture.follower.step();
    fixture.feed.write("late", "ready 1");
    // A digest reports the new era while the read is pending.
    fixture.storeEras.record(secondEra);
    stepUntilListed(fixture);
    CHECK_FALSE(isUsable(fixture, "late"));
    CHECK(isUsable(fixture, "e1"));
    fixture.feed.restore(1);
    fixture.clock.advance(seconds(1));
    stepUntilListed(fixture);
    CHECK(fixture.mirror.nextPosition(FeedTopic::Upstreams) == FeedPosition { secondEra, 1 });
}

TEST_CASE("A node that isn't a reader enters the new era with the page of a peer and trusts no report on the old one")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 1");
    fixture.feed.write("e2", "ready 1");
    fixture.follower.step();
    fixture.peers.isStoreReader = false;
    fixture.peers.peersFreshUntil = fixture.clock.now() + minutes(1);
    fixture.storeEras.record(secondEra);
    fixture.follower.step();
    auto callCount = fixture.feed.callCount;
    FeedMirror peer;
    peer.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e1", "draining 2", 0, secondEra });
    peer.advanceTo(FeedTopic::Upstreams, { secondEra, 1 });
    fixture.peers.source = &peer;
    fixture.follower.step();
    CHECK(fixture.feed.callCount == callCount);
    CHECK_FALSE(isUsable(fixture, "e1"));
    CHECK(isUsable(fixture, "e2"));
    CHECK(fixture.follower.lastReadAt() == TimePoint());
    // The peers' reports are still of the old era, so this node has to read the store itself.
    fixture.feed.restore(1);
    fixture.follower.step();
    fixture.follower.step();
    CHECK(fixture.feed.callCount > callCount);
}

TEST_CASE("An era that increases twice is followed, also between the pages of a listing")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.pageSize = 1;
    fixture.feed.write("e1", "ready 1");
    fixture.feed.write("e2", "ready 1");
    fixture.feed.write("e3", "ready 1");
    fixture.follower.step();
    fixture.feed.restore(3);
    fixture.feed.onPage = [&fixture] {
        fixture.feed.onPage = nullptr;
        fixture.feed.restore(2);
        fixture.feed.write("e4", "ready 1");
        fixture.feed.write("e1", "draining 2");
    };
    for (int step = 0; step < 4; ++step) {
        fixture.clock.advance(milliseconds(500));
        fixture.follower.step();
    }
    CHECK(fixture.mirror.nextPosition(FeedTopic::Upstreams) == FeedPosition { StoreEra(2), 4 });
    CHECK(isUsable(fixture, "e4"));
    CHECK_FALSE(isUsable(fixture, "e1"));
}

TEST_CASE("While the store is unavailable after a restoration, missing keys are kept beyond the grace period")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 1");
    fixture.feed.write("missing", "ready 1");
    fixture.follower.step();
    fixture.feed.restore(1);
    stepUntilListed(fixture);
    fixture.feed.isDown = true;
    for (int second = 0; second < 14; ++second) {
        fixture.clock.advance(seconds(1));
        fixture.follower.step();
    }
    CHECK(isUsable(fixture, "missing"));
    fixture.feed.isDown = false;
    fixture.feed.write("missing", "ready 1");
    fixture.follower.step();
    fixture.clock.advance(seconds(20));
    fixture.follower.step();
    CHECK(isUsable(fixture, "missing"));
}

TEST_CASE("An entry with an older sequence of the same process replaces no newer one")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "draining 5");
    fixture.follower.step();
    fixture.feed.write("e1", "ready 4");
    fixture.follower.step();
    CHECK_FALSE(isUsable(fixture, "e1"));
    fixture.feed.write("e1", "ready 1 restarted");
    fixture.follower.step();
    CHECK(isUsable(fixture, "e1"));
}

// Guards against an upstream that stays unusable after its registration has expired.
TEST_CASE("A removed process that registers again with the same sequence in the same era is usable")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "ready 5");
    fixture.follower.step();
    fixture.feed.write("e1", "");
    fixture.feed.write("e1", "ready 5");
    fixture.follower.step();
    CHECK(isUsable(fixture, "e1"));
}

// Guards against nodes that find each other no longer, because the copy lacks the announcement.
TEST_CASE("A node announces itself again in each new era, at once neither with all other nodes nor twice")
{
    ManualClock clock;
    SeededRandom random(5);
    NullEventLog events;
    KnownHost self { HostId("front-1"), FailureDomainId("a1"), "10.0.0.1:7200" };
    PeerTable peers(clock, random, self, 8);
    StoreEraTracker storeEras;
    FakeDirectory directory;
    HostDirectoryTask task(clock, events, directory, peers, storeEras, self);
    task.step();
    task.step();
    CHECK(directory.announceCount == 1);
    directory.era = secondEra;
    storeEras.record(secondEra);
    auto announceAt = task.step();
    CHECK(directory.announceCount == 1);
    CHECK(announceAt <= clock.now() + seconds(4));
    clock.advance(announceAt - clock.now());
    task.step();
    task.step();
    CHECK(directory.announceCount == 2);
}

TEST_CASE("All nodes of a fleet enter the new era and learn of records at reassigned offsets in time")
{
    for (std::size_t size : { std::size_t(6), std::size_t(60) }) {
        SimulatedFleet fleet(size, 6, 0.01);
        for (int upstream = 0; upstream < 20; ++upstream) {
            fleet.writeUpstream(fmt::format("e{}", upstream), "ready 1");
        }
        fleet.run(seconds(8));
        REQUIRE(fleet.countUpToDate(FeedTopic::Upstreams) == size);
        // One node is paused during the change, and resumes with the position of the old era.
        fleet.at(1).isUp = false;
        for (auto &feed : fleet.feeds) {
            feed.restore(feed.log.size() / 2);
        }
        for (int upstream = 10; upstream < 20; ++upstream) {
            fleet.writeUpstream(fmt::format("e{}", upstream), upstream == 15 ? "draining 2" : "ready 2");
        }
        fleet.run(milliseconds(2500));
        CHECK(fleet.countUpToDate(FeedTopic::Upstreams) == size - 1);
        fleet.at(1).isUp = true;
        fleet.run(milliseconds(2500));
        CHECK(fleet.countUpToDate(FeedTopic::Upstreams) == size);
        for (std::size_t node = 0; node < size; ++node) {
            CHECK_FALSE(fleet.at(node).registry.isUsable(UpstreamId("e15")));
            CHECK(fleet.at(node).registry.isUsable(UpstreamId("e14")));
        }
    }
}

// Guards against an era that waits for the next read of a reader.
TEST_CASE("An era that one relay sees first reaches the whole fleet, also when the store is unavailable immediately afterwards")
{
    SimulatedFleet fleet(60, 6, 0.01);
    fleet.writeUpstream("e1", "ready 1");
    fleet.writeUpstream("missing", "ready 1");
    fleet.run(seconds(8));
    for (auto &feed : fleet.feeds) {
        feed.isDown = true;
        feed.restore(feed.log.size() / 2);
    }
    std::size_t relay = 0;
    while (!fleet.at(relay).peers.isRelay()) {
        ++relay;
    }
    fleet.at(relay).storeEras.record(secondEra);
    fleet.run(seconds(1));
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        CHECK(fleet.at(node).storeEras.current() == secondEra);
        CHECK(fleet.at(node).registry.isUsable(UpstreamId("missing")));
    }
    for (auto &feed : fleet.feeds) {
        feed.isDown = false;
    }
    fleet.writeUpstream("e1", "draining 2");
    fleet.run(seconds(8));
    CHECK(fleet.countUpToDate(FeedTopic::Upstreams) == fleet.size());
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        CHECK_FALSE(fleet.at(node).registry.isUsable(UpstreamId("e1")));
    }
}
