#include "FeedFakes.h"

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A node lists the newest records first and then reads the records that follow")
{
    FollowerFixture fixture(FeedTopic::Operators);
    CHECK_FALSE(fixture.follower.hasSynced());
    fixture.feed.write("config", "3");
    fixture.follower.step();
    CHECK(fixture.follower.hasSynced());
    REQUIRE(fixture.config.current());
    CHECK(fixture.config.current()->version() == ConfigVersion(3));
    fixture.feed.write("config", "5");
    fixture.feed.write("a2", "drained");
    fixture.follower.step();
    CHECK(fixture.config.current()->version() == ConfigVersion(5));
    CHECK(fixture.registry.drainedDomains().contains(FailureDomainId("a2")));
    CHECK(fixture.listener.readCount == 1);
    fixture.feed.write("a2", "");
    fixture.follower.step();
    CHECK(fixture.registry.drainedDomains().empty());
}

TEST_CASE("After missed records expired, a new listing applies them, including ended drains and removals")
{
    FollowerFixture operators(FeedTopic::Operators);
    operators.feed.write("a2", "drained");
    operators.follower.step();
    operators.feed.write("a2", "");
    operators.feed.write("config", "9");
    operators.feed.firstAvailable = operators.feed.log.size();
    operators.follower.step();
    operators.follower.step();
    CHECK(operators.registry.drainedDomains().empty());
    CHECK(operators.config.current()->version() == ConfigVersion(9));

    FollowerFixture upstreams(FeedTopic::Upstreams);
    upstreams.feed.write("e1", "1");
    upstreams.feed.write("e2", "1");
    upstreams.follower.step();
    upstreams.feed.write("e1", "");
    upstreams.feed.firstAvailable = upstreams.feed.log.size();
    upstreams.follower.step();
    upstreams.follower.step();
    CHECK_FALSE(upstreams.registry.isUsable(UpstreamId("e1")));
    CHECK(upstreams.registry.isUsable(UpstreamId("e2")));
}

TEST_CASE("Records come from a peer while the store refuses this node")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.write("config", "3");
    fixture.follower.step();
    FeedMirror peer;
    peer.putIfNewer(FeedTopic::Operators, FeedRecord { "config", "4", 1 });
    peer.advanceTo(FeedTopic::Operators, { StoreEra(), 2 });
    fixture.peers.source = &peer;
    fixture.feed.isDown = true;
    fixture.follower.step();
    CHECK(fixture.config.current()->version() == ConfigVersion(4));
}

TEST_CASE("A node that starts while the store refuses it gets all records from a peer")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.isDown = true;
    FeedMirror peer;
    peer.putIfNewer(FeedTopic::Operators, FeedRecord { "config", "4", 0 });
    peer.advanceTo(FeedTopic::Operators, { StoreEra(), 1 });
    fixture.peers.source = &peer;
    fixture.follower.step();
    CHECK(fixture.follower.hasSynced());
    CHECK(fixture.config.current()->version() == ConfigVersion(4));
}

TEST_CASE("All pages of a listing are read, and records written meanwhile are read afterwards")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.pageSize = 2;
    for (const auto *id : { "e1", "e2", "e3", "e4", "e5" }) {
        fixture.feed.write(id, "1");
    }
    fixture.feed.onPage = [&fixture] { fixture.feed.write("e0", "1"); };
    fixture.follower.step();
    CHECK(fixture.registry.size() == 5);
    fixture.feed.onPage = nullptr;
    fixture.follower.step();
    CHECK(fixture.registry.size() == 6);
}

TEST_CASE("A starting node that isn't a reader gets the listing from a peer without calling the store")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    FeedMirror peer;
    peer.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e1", "1", 6 });
    peer.advanceTo(FeedTopic::Upstreams, { StoreEra(), 7 });
    fixture.peers.isStoreReader = false;
    fixture.peers.isDirectoryKnown = false;
    fixture.peers.source = &peer;
    fixture.peers.peersFreshUntil = fixture.clock.now() + minutes(1);
    fixture.follower.step();
    CHECK_FALSE(fixture.follower.hasSynced());
    fixture.peers.isDirectoryKnown = true;
    fixture.follower.step();
    CHECK(fixture.follower.hasSynced());
    CHECK(fixture.registry.isUsable(UpstreamId("e1")));
    CHECK(fixture.feed.callCount == 0);
    CHECK(fixture.listener.completeCount == 1);
}

TEST_CASE("A starting node lists the topic itself if no peer has records after the listing delay")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "1");
    fixture.peers.isStoreReader = false;
    fixture.follower.step();
    CHECK(fixture.feed.callCount == 0);
    fixture.clock.advance(milliseconds(200));
    fixture.follower.step();
    CHECK(fixture.follower.hasSynced());
    CHECK(fixture.registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("Peers learn from a reader which keys its new listing lacks")
{
    FollowerFixture reader(FeedTopic::Upstreams);
    reader.feed.write("gone", "1");
    reader.feed.write("stays", "1");
    reader.follower.step();
    FollowerFixture other(FeedTopic::Upstreams);
    other.peers.isStoreReader = false;
    other.peers.source = &reader.mirror;
    other.peers.peersFreshUntil = other.clock.now() + minutes(1);
    other.follower.step();
    REQUIRE(other.registry.isUsable(UpstreamId("gone")));

    reader.feed.write("gone", "");
    reader.feed.write("new", "1");
    reader.feed.newest.erase("gone");
    reader.feed.firstAvailable = reader.feed.log.size();
    reader.follower.step();
    reader.follower.step();
    CHECK_FALSE(reader.registry.isUsable(UpstreamId("gone")));
    other.follower.step();
    other.clock.advance(milliseconds(120));
    other.follower.step();
    CHECK_FALSE(other.registry.isUsable(UpstreamId("gone")));
    CHECK(other.registry.isUsable(UpstreamId("stays")));
    CHECK(other.registry.isUsable(UpstreamId("new")));
}

TEST_CASE("Registrations that expired during an outage are kept for two seconds after it")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("returns", "1");
    fixture.feed.write("gone", "1");
    fixture.follower.step();
    fixture.feed.isDown = true;
    fixture.follower.step();
    fixture.clock.advance(seconds(3));
    fixture.follower.step();
    fixture.feed.write("returns", "");
    fixture.feed.write("gone", "");
    fixture.feed.isDown = false;
    fixture.follower.step();
    CHECK(fixture.registry.isUsable(UpstreamId("returns")));
    CHECK(fixture.registry.isUsable(UpstreamId("gone")));
    fixture.clock.advance(seconds(1));
    fixture.feed.write("returns", "1");
    fixture.follower.step();
    fixture.clock.advance(milliseconds(1500));
    CHECK(fixture.registry.isUsable(UpstreamId("returns")));
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("gone")));
}

TEST_CASE("Registrations that expired during an outage that a reader reports are kept at nodes that follow the readers")
{
    auto isReportReceivedFirst = GENERATE(true, false);
    auto silence = GENERATE(milliseconds(500), milliseconds(3000));
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("returns", "1");
    fixture.follower.step();
    fixture.peers.isStoreReader = false;
    fixture.peers.storeCallJitter = minutes(1);
    fixture.peers.peersFreshUntil = fixture.clock.now() + seconds(1);
    fixture.follower.step();
    fixture.clock.advance(seconds(1));
    fixture.follower.step();
    fixture.clock.advance(silence);
    if (isReportReceivedFirst) {
        fixture.peers.peersFreshUntil = fixture.clock.now() + milliseconds(1500);
        fixture.follower.step();
    }
    fixture.follower.recordPeerOutage(StoreOutageReport { seconds(1) + silence, Duration(0) });
    fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "returns", "", 1 } }, 2 } });
    fixture.follower.step();
    CHECK(fixture.registry.isUsable(UpstreamId("returns")));
    fixture.clock.advance(milliseconds(2300));
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("returns")));
}

TEST_CASE("Registrations that expired during an outage are kept at a node whose own read of the store has failed")
{
    auto isReadByPeer = GENERATE(true, false);
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("returns", "1");
    fixture.follower.step();
    fixture.peers.isStoreReader = false;
    fixture.peers.peersFreshUntil = fixture.clock.now() + milliseconds(1500);
    fixture.follower.step();
    fixture.feed.isDown = true;
    fixture.clock.advance(seconds(2));
    fixture.follower.step();
    fixture.clock.advance(seconds(1));
    fixture.feed.isDown = false;
    fixture.feed.write("returns", "");
    if (isReadByPeer) {
        fixture.peers.peersFreshUntil = fixture.clock.now() + milliseconds(1500);
        fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "returns", "", 1 } }, 2 } });
    }
    fixture.follower.step();
    CHECK(fixture.registry.isUsable(UpstreamId("returns")));
    CHECK(fixture.follower.recentOutage());
    fixture.clock.advance(milliseconds(2300));
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("returns")));
    CHECK_FALSE(fixture.follower.recentOutage());
}

// Guards against a node that takes the silence of the readers for an outage of the store: they may be gone while the store is available.
TEST_CASE("After the readers fell silent, a removal takes effect at once if no read of the store has failed")
{
    auto isReadByPeer = GENERATE(true, false);
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("gone", "1");
    fixture.follower.step();
    fixture.peers.isStoreReader = false;
    fixture.peers.storeCallJitter = isReadByPeer ? Duration(minutes(1)) : Duration(milliseconds(80));
    fixture.peers.peersFreshUntil = fixture.clock.now() + seconds(1);
    fixture.follower.step();
    fixture.clock.advance(seconds(1));
    fixture.follower.step();
    fixture.clock.advance(milliseconds(80));
    fixture.feed.write("gone", "");
    if (isReadByPeer) {
        fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "gone", "", 1 } }, 2 } });
    }
    fixture.follower.step();
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("gone")));
}

TEST_CASE("A reader that the store refuses applies removals from the other reader at once")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("gone", "1");
    fixture.follower.step();
    fixture.feed.isDown = true;
    for (int round = 0; round < 10; ++round) {
        fixture.peers.peersFreshUntil = fixture.clock.now() + seconds(1);
        fixture.follower.step();
        fixture.clock.advance(milliseconds(400));
    }
    fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "gone", "", 1 } }, 2 } });
    fixture.follower.step();
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("gone")));
}

TEST_CASE("After both readers lost the store, removals from the other reader are deferred as well")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("returns", "1");
    fixture.follower.step();
    fixture.feed.isDown = true;
    for (int round = 0; round < 10; ++round) {
        fixture.follower.step();
        fixture.clock.advance(milliseconds(400));
    }
    fixture.follower.receive(FeedBatch { FeedTopic::Upstreams, 1, { { { "returns", "", 1 } }, 2 } });
    fixture.follower.step();
    CHECK(fixture.registry.isUsable(UpstreamId("returns")));
}

TEST_CASE("A removal without an outage takes effect at once")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "1");
    fixture.follower.step();
    fixture.feed.write("e1", "");
    fixture.follower.step();
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("An upstream with a malformed record isn't used, and other records still apply")
{
    FollowerFixture fixture(FeedTopic::Upstreams);
    fixture.feed.write("e1", "1");
    fixture.feed.write("e2", "1");
    fixture.follower.step();
    fixture.feed.write("e1", "broken");
    fixture.feed.write("e3", "1");
    fixture.follower.step();
    CHECK_FALSE(fixture.registry.isUsable(UpstreamId("e1")));
    CHECK(fixture.registry.isUsable(UpstreamId("e2")));
    CHECK(fixture.registry.isUsable(UpstreamId("e3")));
}

// Guards against a record that ends each step of the follower with an exception, so that it never reads the records after it.
TEST_CASE("A record for which the decoder throws any exception is ignored, and the records after it apply")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.write("config", "1");
    fixture.follower.step();
    fixture.feed.write("config", "no number");
    fixture.feed.write("config", "99999999999999999999999");
    fixture.feed.write("config", "3");
    REQUIRE_NOTHROW(fixture.follower.step());
    REQUIRE(fixture.config.current());
    CHECK(fixture.config.current()->version() == ConfigVersion(3));
}

TEST_CASE("A node that isn't a reader doesn't call the store while a reader reports fresh records")
{
    FollowerFixture fixture(FeedTopic::Operators);
    fixture.feed.write("config", "3");
    fixture.follower.step();
    FeedMirror reader;
    reader.putIfNewer(FeedTopic::Operators, FeedRecord { "config", "8", 1 });
    reader.advanceTo(FeedTopic::Operators, { StoreEra(), 2 });
    fixture.peers.source = &reader;
    fixture.peers.isStoreReader = false;
    fixture.peers.peersFreshUntil = fixture.clock.now() + seconds(1);
    auto callsBefore = fixture.feed.callCount;
    // The records may still be in transit through a relay.
    fixture.follower.step();
    CHECK(fixture.peers.pullCount == 0);
    for (int round = 0; round < 5; ++round) {
        fixture.clock.advance(milliseconds(120));
        fixture.follower.step();
    }
    CHECK(fixture.feed.callCount == callsBefore);
    CHECK(fixture.peers.pullCount == 1);
    CHECK(fixture.config.current()->version() == ConfigVersion(8));

    // The readers stop reporting.
    fixture.clock.advance(seconds(2));
    fixture.feed.write("config", "11");
    fixture.feed.write("config", "12");
    fixture.follower.step();
    CHECK(fixture.feed.callCount > callsBefore);
    CHECK(fixture.config.current()->version() == ConfigVersion(12));
}

TEST_CASE("Records that a reader sends are applied without a pull or a store call")
{
    FollowerFixture reader(FeedTopic::Upstreams);
    FollowerFixture other(FeedTopic::Upstreams);
    for (auto *fixture : { &reader, &other }) {
        fixture->feed.write("e1", "1");
        fixture->feed.write("e2", "1");
        fixture->follower.step();
    }
    other.peers.isStoreReader = false;
    other.peers.source = &reader.mirror;
    other.peers.peersFreshUntil = other.clock.now() + minutes(1);
    auto callsBefore = other.feed.callCount;

    reader.feed.write("e1", "draining");
    reader.follower.step();
    REQUIRE(reader.listener.readCount == 1);
    auto first = reader.listener.lastBatch;
    other.follower.receive(first);
    other.follower.step();
    CHECK(other.registry.evacuationReason(UpstreamId("e1"), upstreamRecord("e1").boot) == EvacuationReason::Draining);
    CHECK(other.peers.pullCount == 0);

    // Records after a gap are pulled.
    reader.feed.write("e2", "draining");
    reader.follower.step();
    reader.feed.write("e3", "1");
    reader.follower.step();
    other.follower.receive(reader.listener.lastBatch);
    other.follower.step();
    other.clock.advance(milliseconds(120));
    other.follower.step();
    CHECK(other.peers.pullCount == 1);
    CHECK(other.registry.evacuationReason(UpstreamId("e2"), upstreamRecord("e2").boot) == EvacuationReason::Draining);
    CHECK(other.registry.isUsable(UpstreamId("e3")));

    // A late duplicate has no effect.
    other.follower.receive(first);
    other.follower.step();
    CHECK(other.registry.evacuationReason(UpstreamId("e2"), upstreamRecord("e2").boot) == EvacuationReason::Draining);
    CHECK(other.feed.callCount == callsBefore);
}

TEST_CASE("A reader that received the records from the other reader doesn't send them again")
{
    FollowerFixture first(FeedTopic::Upstreams);
    FollowerFixture second(FeedTopic::Upstreams);
    for (auto *fixture : { &first, &second }) {
        fixture->follower.step();
        fixture->feed.write("e1", "1");
    }
    first.follower.step();
    second.follower.receive(first.listener.lastBatch);
    second.follower.step();
    CHECK(first.listener.readCount == 1);
    CHECK(second.listener.readCount == 0);
    CHECK(second.registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("A batch is split without gaps, up to the first record that is too large")
{
    FeedBatch batch { FeedTopic::Upstreams, 7, {} };
    for (std::uint64_t offset = 8; offset < 14; ++offset) {
        batch.page.records.push_back({ "k", std::string(offset == 12 ? 200 : 39, 'x'), offset });
    }
    batch.page.nextOffset = 15;
    auto batches = splitBatch(batch, 100);
    REQUIRE(batches.size() == 2);
    CHECK(batches[0].firstOffset == 7);
    CHECK(batches[0].page.records.size() == 2);
    CHECK(batches[0].page.nextOffset == batches[1].firstOffset);
    CHECK(batches[1].page.records.size() == 2);
    CHECK(batches[1].page.nextOffset == 12);
    CHECK(splitBatch(batch, 1000).front().page.nextOffset == 15);
}

namespace {

/** Each record of the operators is an order, each report one of a completion. */
class RolloutDecoder final : public FeedDecoder
{
public:
    std::optional<FeedChange> decode(FeedTopic topic, const FeedRecord &record, TimePoint now) const override
    {
        if (topic == FeedTopic::Operators) {
            return RolloutOrder { RolloutOrderId(record.offset), PoolId(record.key), UpstreamVersion(record.value), now, now };
        }
        return RolloutStatus { PoolId(record.key), UpstreamVersion(record.value), RolloutState::Completed, RolloutOrderId(record.offset) };
    }
};

class RecordingRollouts final : public RolloutRecordListener
{
public:
    void applyOrder(const RolloutOrder &order) override
    {
        this->orders.push_back(order);
    }

    void applyStatus(const RolloutStatus &status) override
    {
        this->statuses.push_back(status);
    }

    std::vector<RolloutOrder> orders;
    std::vector<RolloutStatus> statuses;
};

}

// Guards against orders that take effect where roll-outs are disabled, and against orders and reports that don't arrive where they are enabled.
TEST_CASE("Orders and reports of roll-outs are passed on only if roll-outs are enabled")
{
    for (auto topic : { FeedTopic::Operators, FeedTopic::Status }) {
        FollowerFixture fixture(topic);
        RolloutDecoder decoder;
        RecordingRollouts rollouts;
        FeedMirror mirror;
        FeedTargets targets { fixture.config, fixture.registry, mirror, fixture.listener, fixture.storeEras, &rollouts };
        FeedFollower enabled(fixture.clock, fixture.events, fixture.feed, decoder, fixture.peers, targets, topic, {});
        FeedFollower disabled(fixture.clock,
                              fixture.events,
                              fixture.feed,
                              decoder,
                              fixture.peers,
                              { fixture.config, fixture.registry, fixture.mirror, fixture.listener, fixture.storeEras },
                              topic,
                              {});
        fixture.feed.write("services", "v2");
        disabled.step();
        CHECK(disabled.hasSynced());
        CHECK(rollouts.orders.empty());
        CHECK(rollouts.statuses.empty());
        enabled.step();
        CHECK(rollouts.orders.size() == (topic == FeedTopic::Operators ? 1 : 0));
        CHECK(rollouts.statuses.size() == (topic == FeedTopic::Status ? 1 : 0));
    }
}
