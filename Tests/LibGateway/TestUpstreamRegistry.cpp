#include "GatewayFixture.h"

#include <LibGateway/FeedMirror.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("An upstream that is draining, was removed or is in a drained failure domain is not usable")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    CHECK(registry.put(upstreamRecord("e1", "a1")));
    CHECK(registry.put(upstreamRecord("e2", "a2")));
    CHECK(registry.put(upstreamRecord("e3", "a2")));
    CHECK(registry.usableUpstreams(PoolId("engines")).size() == 3);
    CHECK(registry.usableUpstreams(PoolId("others")).empty());

    auto draining = upstreamRecord("e1", "a1");
    draining.isDraining = true;
    CHECK(registry.put(draining));
    CHECK_FALSE(registry.isUsable(UpstreamId("e1")));

    registry.setDrained(FailureDomainId("a2"), true);
    CHECK(registry.usableUpstreams(PoolId("engines")).empty());
    registry.setDrained(FailureDomainId("a2"), false);
    CHECK(registry.usableUpstreams(PoolId("engines")).size() == 2);

    registry.remove(UpstreamId("e2"));
    CHECK_FALSE(registry.isUsable(UpstreamId("e2")));
    CHECK(registry.usableUpstreams(PoolId("engines")).size() == 1);
}

TEST_CASE("put() reports whether an entry has changed")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    CHECK(registry.put(upstreamRecord("e1")));
    CHECK_FALSE(registry.put(upstreamRecord("e1")));
    auto restarted = upstreamRecord("e1");
    restarted.boot = BootId("2");
    CHECK(registry.put(restarted));
}

TEST_CASE("The evacuation reason tells a draining or removed upstream from a restarted one")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    registry.put(upstreamRecord("e1"));
    CHECK(registry.evacuationReason(UpstreamId("e1"), BootId("1")) == EvacuationReason::None);
    CHECK(registry.evacuationReason(UpstreamId("e1"), BootId("0")) == EvacuationReason::Restarted);
    auto draining = upstreamRecord("e1");
    draining.isDraining = true;
    registry.put(draining);
    CHECK(registry.evacuationReason(UpstreamId("e1"), BootId("1")) == EvacuationReason::Draining);
    registry.remove(UpstreamId("e1"));
    CHECK(registry.evacuationReason(UpstreamId("e1"), BootId("1")) == EvacuationReason::Draining);
}

TEST_CASE("An entry that disappeared around an outage stays usable during the grace period, and afterwards only if it was added again")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    registry.put(upstreamRecord("returns"));
    registry.put(upstreamRecord("gone"));
    auto until = clock.now() + seconds(2);
    registry.scheduleRemoval(UpstreamId("returns"), until);
    registry.scheduleRemoval(UpstreamId("gone"), until);
    CHECK(registry.isUsable(UpstreamId("gone")));
    clock.advance(seconds(1));
    registry.put(upstreamRecord("returns"));
    clock.advance(milliseconds(1001));
    CHECK(registry.isUsable(UpstreamId("returns")));
    CHECK_FALSE(registry.isUsable(UpstreamId("gone")));
}

TEST_CASE("The mirror returns the keys that are missing from a complete listing")
{
    FeedMirror mirror;
    mirror.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e1", "1", 0 });
    mirror.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e2", "1", 1 });
    mirror.putIfNewer(FeedTopic::Upstreams, FeedRecord { "removed", "", 2 });
    auto missing = mirror.keysMissingFrom(FeedTopic::Upstreams, { { "e2", "1", 1 }, { "e3", "1", 3 } });
    REQUIRE(missing.size() == 1);
    CHECK(missing.front() == "e1");
}

TEST_CASE("Upstreams are indexed by pool and failure domain, also after they change their domain")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    registry.put(upstreamRecord("e1", "a1"));
    registry.put(upstreamRecord("e2", "a1"));
    auto hash = LoadTracker::hashUpstreamId(UpstreamId("e1"));
    CHECK(registry.countUsable(PoolId("engines"), FailureDomainId("a1")) == 2);
    CHECK(registry.findDomainPool(hash)->domain == FailureDomainId("a1"));
    registry.put(upstreamRecord("e1", "b1"));
    CHECK(registry.countUsable(PoolId("engines"), FailureDomainId("a1")) == 1);
    CHECK(registry.findDomainPool(hash)->domain == FailureDomainId("b1"));
    registry.setDrained(FailureDomainId("b1"), true);
    CHECK(registry.countUsable(PoolId("engines"), FailureDomainId("b1")) == 0);
    registry.remove(UpstreamId("e1"));
    CHECK_FALSE(registry.findDomainPool(hash));
    CHECK(registry.usableUpstreams(PoolId("engines")).size() == 1);
}

TEST_CASE("A process that has announced its shutdown is not usable until another process registers with its id")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    auto record = upstreamRecord("e1");
    registry.put(record);
    UpstreamShutdownNotice notice { record.id, record.boot };
    CHECK(registry.recordShutdownNotice(notice));
    CHECK_FALSE(registry.recordShutdownNotice(notice));
    CHECK_FALSE(registry.isUsable(record.id));
    CHECK(registry.evacuationReason(record.id, record.boot) == EvacuationReason::Draining);
    CHECK(registry.usableUpstreams(record.pool).empty());

    // Neither an outdated entry nor one that expired and was added again in an outage makes the process usable.
    registry.put(record);
    CHECK_FALSE(registry.isUsable(record.id));
    registry.remove(record.id);
    registry.put(record);
    CHECK_FALSE(registry.isUsable(record.id));

    auto restarted = record;
    restarted.boot = BootId("2");
    registry.put(restarted);
    CHECK(registry.isUsable(record.id));
    CHECK_FALSE(registry.recordShutdownNotice(notice));
    CHECK(registry.isUsable(record.id));
}

// Guards against an entry of another writer that ends what the upstream itself has said of its shutdown.
TEST_CASE("An entry that names no process doesn't end the shutdown that a process has announced")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    registry.put(upstreamRecord("e1"));
    REQUIRE(registry.recordShutdownNotice({ UpstreamId("e1"), BootId("1") }));
    auto unnamed = upstreamRecord("e1");
    unnamed.boot = BootId();
    registry.put(unnamed);
    CHECK_FALSE(registry.isUsable(UpstreamId("e1")));
    registry.put(upstreamRecord("e1"));
    CHECK_FALSE(registry.isUsable(UpstreamId("e1")));
    auto restarted = upstreamRecord("e1");
    restarted.boot = BootId("2");
    registry.put(restarted);
    CHECK(registry.isUsable(UpstreamId("e1")));
}

TEST_CASE("Recent shutdown notices are returned for three seconds, newest first")
{
    ManualClock clock;
    UpstreamRegistry registry(clock);
    for (const auto *id : { "e1", "e2", "e3" }) {
        registry.recordShutdownNotice({ UpstreamId(id), BootId("1") });
        clock.advance(seconds(1));
    }
    auto notices = registry.recentShutdownNotices(9);
    REQUIRE(notices.size() == 2);
    CHECK(notices[0].upstream == UpstreamId("e3"));
    CHECK(registry.recentShutdownNotices(1).size() == 1);
    clock.advance(seconds(3));
    CHECK(registry.recentShutdownNotices(9).empty());
    CHECK_FALSE(registry.recordShutdownNotice({ UpstreamId("e1"), BootId("1") }));
}
