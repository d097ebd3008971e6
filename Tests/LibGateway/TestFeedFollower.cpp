#include "GatewayFixture.h"

#include <LibCore/Error.h>
#include <LibGateway/FeedFollower.h>

#include <catch2/catch.hpp>

#include <map>

using namespace Lovageward;

namespace {

/** A store in memory that can be down, forget its history, or answer with what a test sets. */
class FakeFeed final : public StateFeed
{
public:
    FeedPage listNewest(FeedTopic /*topic*/, TimePoint /*deadline*/) override
    {
        ++this->calls;
        this->checkUp();
        FeedPage page;
        for (const auto &[key, record] : this->newest) {
            if (!record.value.empty()) {
                page.records.push_back(record);
            }
        }
        page.nextOffset = this->log.size();
        return page;
    }

    FeedPage readFrom(FeedTopic /*topic*/, std::uint64_t offset, Duration /*wait*/, TimePoint /*deadline*/) override
    {
        ++this->calls;
        this->checkUp();
        if (offset < this->firstKept) {
            throw Error(ResultCode::RecordsExpired, RunState::NotRun, "expired");
        }
        FeedPage page;
        for (auto at = offset; at < this->log.size(); ++at) {
            page.records.push_back(this->log[at]);
        }
        page.nextOffset = this->log.size();
        return page;
    }

    void write(const std::string &key, const std::string &value)
    {
        FeedRecord record { key, value, this->log.size() };
        this->log.push_back(record);
        this->newest[key] = record;
    }

    bool isDown = false;
    std::uint64_t firstKept = 0;
    int calls = 0;
    std::vector<FeedRecord> log;
    std::map<std::string, FeedRecord> newest;

private:
    void checkUp() const
    {
        if (this->isDown) {
            throw Error(ResultCode::LogUnavailable, RunState::Unknown, "down");
        }
    }
};

/** "vN" is a configuration of version N, "drain:D" drains D, and any other key names an upstream whose value is its boot or "draining". */
class FakeDecoder final : public FeedDecoder
{
public:
    std::optional<FeedChange> decode(FeedTopic topic, const FeedRecord &record, TimePoint /*now*/) const override
    {
        if (record.value == "broken") {
            throw Error(ResultCode::InvalidValue, RunState::NotRun, "broken");
        }
        if (topic == FeedTopic::Operators && record.key == "config") {
            return std::make_shared<const GatewayConfig>(
                ConfigVersion(std::stoull(record.value)), std::vector<Route> {}, std::vector<UpstreamPool> {}, std::vector<GatewayTeam> {}, CallerLimits());
        }
        if (topic == FeedTopic::Operators) {
            return DrainChange { FailureDomainId(record.key), !record.value.empty() };
        }
        if (record.value.empty()) {
            return UpstreamRemoval { UpstreamId(record.key) };
        }
        auto entry = upstreamRecord(record.key);
        entry.isDraining = record.value == "draining";
        return entry;
    }
};

class FakePeers final : public PeerFeed
{
public:
    FeedPage pull(FeedTopic topic, std::uint64_t offset) override
    {
        ++this->pulls;
        if (this->source == nullptr) {
            throw Error(ResultCode::PeerUnreachable, RunState::NotRun, "no peer");
        }
        return this->source->since(topic, offset);
    }

    bool isAnyAhead(FeedTopic topic, std::uint64_t offset) const override
    {
        return this->source != nullptr && this->source->nextOffset(topic) > offset;
    }

    bool isReader(FeedTopic /*topic*/) const override
    {
        return this->reads;
    }

    TimePoint coveredUntil(FeedTopic /*topic*/) const override
    {
        return this->covered;
    }

    const FeedMirror *source = nullptr;
    bool reads = true;
    TimePoint covered;
    int pulls = 0;
};

class CountingListener final : public FeedListener
{
public:
    void recordsRead(const FeedPiece &piece) override
    {
        ++this->calls;
        this->last = piece;
    }

    int calls = 0;
    FeedPiece last;
};

struct FollowerWorld
{
    explicit FollowerWorld(FeedTopic topic) : follower(clock, events, feed, decoder, peers, { config, registry, mirror, listener }, topic, {})
    {
        this->clock.advance(minutes(1));
    }

    ManualClock clock;
    NullEventLog events;
    FakeFeed feed;
    FakeDecoder decoder;
    FakePeers peers;
    ConfigHolder config;
    UpstreamRegistry registry { clock };
    FeedMirror mirror;
    CountingListener listener;
    FeedFollower follower;
};

}

TEST_CASE("A node reads the newest records first and then follows the log")
{
    FollowerWorld world(FeedTopic::Operators);
    CHECK_FALSE(world.follower.hasRead());
    world.feed.write("config", "3");
    world.follower.step();
    CHECK(world.follower.hasRead());
    REQUIRE(world.config.current());
    CHECK(world.config.current()->version() == ConfigVersion(3));
    world.feed.write("config", "5");
    world.feed.write("a2", "drained");
    world.follower.step();
    CHECK(world.config.current()->version() == ConfigVersion(5));
    CHECK(world.registry.drainedDomains().contains(FailureDomainId("a2")));
    CHECK(world.listener.calls == 1);
    world.feed.write("a2", "");
    world.follower.step();
    CHECK(world.registry.drainedDomains().empty());
}

TEST_CASE("The store forgets its history: the listing brings what was missed, also ends of drains and removals")
{
    FollowerWorld operators(FeedTopic::Operators);
    operators.feed.write("a2", "drained");
    operators.follower.step();
    operators.feed.write("a2", "");
    operators.feed.write("config", "9");
    operators.feed.firstKept = operators.feed.log.size();
    operators.follower.step();
    operators.follower.step();
    CHECK(operators.registry.drainedDomains().empty());
    CHECK(operators.config.current()->version() == ConfigVersion(9));

    FollowerWorld upstreams(FeedTopic::Upstreams);
    upstreams.feed.write("e1", "1");
    upstreams.feed.write("e2", "1");
    upstreams.follower.step();
    upstreams.feed.write("e1", "");
    upstreams.feed.firstKept = upstreams.feed.log.size();
    upstreams.follower.step();
    upstreams.follower.step();
    CHECK_FALSE(upstreams.registry.isUsable(UpstreamId("e1")));
    CHECK(upstreams.registry.isUsable(UpstreamId("e2")));
}

TEST_CASE("The store turns this node away: records come from a peer")
{
    FollowerWorld world(FeedTopic::Operators);
    world.feed.write("config", "3");
    world.follower.step();
    FeedMirror peer;
    peer.offer(FeedTopic::Operators, FeedRecord { "config", "4", 1 });
    peer.advance(FeedTopic::Operators, 2);
    world.peers.source = &peer;
    world.feed.isDown = true;
    world.follower.step();
    CHECK(world.config.current()->version() == ConfigVersion(4));
}

TEST_CASE("A node that starts while the store turns it away learns all from a peer")
{
    FollowerWorld world(FeedTopic::Operators);
    world.feed.isDown = true;
    FeedMirror peer;
    peer.offer(FeedTopic::Operators, FeedRecord { "config", "4", 0 });
    peer.advance(FeedTopic::Operators, 1);
    world.peers.source = &peer;
    world.follower.step();
    CHECK(world.follower.hasRead());
    CHECK(world.config.current()->version() == ConfigVersion(4));
}

TEST_CASE("Entries that lapsed during an outage are kept for two seconds after it")
{
    FollowerWorld world(FeedTopic::Upstreams);
    world.feed.write("returns", "1");
    world.feed.write("gone", "1");
    world.follower.step();
    world.feed.isDown = true;
    world.follower.step();
    world.clock.advance(seconds(3));
    world.follower.step();
    world.feed.write("returns", "");
    world.feed.write("gone", "");
    world.feed.isDown = false;
    world.follower.step();
    CHECK(world.registry.isUsable(UpstreamId("returns")));
    CHECK(world.registry.isUsable(UpstreamId("gone")));
    world.clock.advance(seconds(1));
    world.feed.write("returns", "1");
    world.follower.step();
    world.clock.advance(milliseconds(1500));
    CHECK(world.registry.isUsable(UpstreamId("returns")));
    CHECK_FALSE(world.registry.isUsable(UpstreamId("gone")));
}

TEST_CASE("A removal in calm times takes effect at once")
{
    FollowerWorld world(FeedTopic::Upstreams);
    world.feed.write("e1", "1");
    world.follower.step();
    world.feed.write("e1", "");
    world.follower.step();
    CHECK_FALSE(world.registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("An entry that can't be read names no upstream and the others hold")
{
    FollowerWorld world(FeedTopic::Upstreams);
    world.feed.write("e1", "1");
    world.feed.write("e2", "1");
    world.follower.step();
    world.feed.write("e1", "broken");
    world.feed.write("e3", "1");
    world.follower.step();
    CHECK_FALSE(world.registry.isUsable(UpstreamId("e1")));
    CHECK(world.registry.isUsable(UpstreamId("e2")));
    CHECK(world.registry.isUsable(UpstreamId("e3")));
}

TEST_CASE("Many nodes: one that isn't a reader leaves the store alone while a reader is fresh")
{
    FollowerWorld world(FeedTopic::Operators);
    world.feed.write("config", "3");
    world.follower.step();
    FeedMirror reader;
    reader.offer(FeedTopic::Operators, FeedRecord { "config", "8", 1 });
    reader.advance(FeedTopic::Operators, 2);
    world.peers.source = &reader;
    world.peers.reads = false;
    world.peers.covered = world.clock.now() + seconds(1);
    auto calls = world.feed.calls;
    for (int round = 0; round < 5; ++round) {
        world.follower.step();
    }
    CHECK(world.feed.calls == calls);
    CHECK(world.peers.pulls == 1);
    CHECK(world.config.current()->version() == ConfigVersion(8));

    // The readers fall silent.
    world.clock.advance(seconds(2));
    world.feed.write("config", "11");
    world.feed.write("config", "12");
    world.follower.step();
    CHECK(world.feed.calls > calls);
    CHECK(world.config.current()->version() == ConfigVersion(12));
}

TEST_CASE("Records that a reader sends are applied without a question to a peer or the store")
{
    FollowerWorld reader(FeedTopic::Upstreams);
    FollowerWorld other(FeedTopic::Upstreams);
    for (auto *world : { &reader, &other }) {
        world->feed.write("e1", "1");
        world->feed.write("e2", "1");
        world->follower.step();
    }
    other.peers.reads = false;
    other.peers.source = &reader.mirror;
    other.peers.covered = other.clock.now() + minutes(1);
    auto calls = other.feed.calls;

    reader.feed.write("e1", "draining");
    reader.follower.step();
    REQUIRE(reader.listener.calls == 1);
    auto first = reader.listener.last;
    other.follower.receive(first);
    other.follower.step();
    CHECK(other.registry.leaveReason(UpstreamId("e1"), upstreamRecord("e1").boot) == LeaveReason::Draining);
    CHECK(other.peers.pulls == 0);

    // What comes behind a gap is asked for.
    reader.feed.write("e2", "draining");
    reader.follower.step();
    reader.feed.write("e3", "1");
    reader.follower.step();
    other.follower.receive(reader.listener.last);
    other.follower.step();
    CHECK(other.peers.pulls == 1);
    CHECK(other.registry.leaveReason(UpstreamId("e2"), upstreamRecord("e2").boot) == LeaveReason::Draining);
    CHECK(other.registry.isUsable(UpstreamId("e3")));

    // A late copy changes nothing.
    other.follower.receive(first);
    other.follower.step();
    CHECK(other.registry.leaveReason(UpstreamId("e2"), upstreamRecord("e2").boot) == LeaveReason::Draining);
    CHECK(other.feed.calls == calls);
}

TEST_CASE("A reader that got the records from the other reader doesn't send them again")
{
    FollowerWorld first(FeedTopic::Upstreams);
    FollowerWorld second(FeedTopic::Upstreams);
    for (auto *world : { &first, &second }) {
        world->follower.step();
        world->feed.write("e1", "1");
    }
    first.follower.step();
    second.follower.receive(first.listener.last);
    second.follower.step();
    CHECK(first.listener.calls == 1);
    CHECK(second.listener.calls == 0);
    CHECK(second.registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("Records are cut to pieces without a gap, up to one that is too large")
{
    FeedPiece piece { FeedTopic::Upstreams, 7, {} };
    for (std::uint64_t offset = 8; offset < 14; ++offset) {
        piece.page.records.push_back({ "k", std::string(offset == 12 ? 200 : 39, 'x'), offset });
    }
    piece.page.nextOffset = 15;
    auto pieces = cutToSize(piece, 100);
    REQUIRE(pieces.size() == 2);
    CHECK(pieces[0].firstOffset == 7);
    CHECK(pieces[0].page.records.size() == 2);
    CHECK(pieces[0].page.nextOffset == pieces[1].firstOffset);
    CHECK(pieces[1].page.records.size() == 2);
    CHECK(pieces[1].page.nextOffset == 12);
    CHECK(cutToSize(piece, 1000).front().page.nextOffset == 15);
}
