#include <LibCore/ManualClock.h>
#include <LibGateway/StoreOutageTracker.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

/** A node whose store was last read a moment ago. */
struct TrackerFixture
{
    TrackerFixture()
    {
        this->clock.advance(minutes(1));
        this->tracker.recordAnswer(this->clock.now());
    }

    /** A read by this node that takes `duration` and fails. */
    bool failRead(Duration duration = Duration(0))
    {
        auto startedAt = this->clock.now();
        this->clock.advance(duration);
        return this->tracker.recordFailedRead(startedAt);
    }

    bool isInGrace() const
    {
        return this->clock.now() < this->tracker.removalGraceUntil();
    }

    ManualClock clock;
    StoreOutageTracker tracker { clock };
};

}

TEST_CASE("A period without an answer in which no read failed isn't an outage")
{
    TrackerFixture fixture;
    fixture.clock.advance(seconds(5));
    CHECK_FALSE(fixture.tracker.recordAnswer(fixture.clock.now()));
    CHECK_FALSE(fixture.isInGrace());
    CHECK_FALSE(fixture.tracker.recentOutage());
}

TEST_CASE("A period without an answer in which a read failed is an outage, from the last answer before it to the first one after it")
{
    TrackerFixture fixture;
    auto lastAnswerAt = fixture.clock.now();
    CHECK_FALSE(fixture.failRead());
    fixture.clock.advance(seconds(2));
    CHECK(fixture.failRead(seconds(1)));
    CHECK_FALSE(fixture.failRead());
    CHECK_FALSE(fixture.isInGrace());
    auto outage = fixture.tracker.recordAnswer(fixture.clock.now());
    REQUIRE(outage);
    CHECK(outage->startedAt == lastAnswerAt);
    CHECK(outage->endedAt == fixture.clock.now());
    CHECK(fixture.isInGrace());
    fixture.clock.advance(milliseconds(300));
    CHECK(fixture.tracker.recentOutage() == StoreOutageReport { milliseconds(3300), milliseconds(300) });
    fixture.clock.advance(seconds(2));
    CHECK_FALSE(fixture.isInGrace());
    CHECK_FALSE(fixture.tracker.recentOutage());
}

// The read of this node may still be pending when a peer is answered again.
TEST_CASE("An answer to a peer ends an outage, also while this node's failed read was pending")
{
    TrackerFixture fixture;
    fixture.clock.advance(seconds(2));
    auto startedAt = fixture.clock.now();
    fixture.clock.advance(milliseconds(1300));
    CHECK(fixture.tracker.recordFailedRead(startedAt));
    CHECK(fixture.tracker.recordAnswer(fixture.clock.now() - milliseconds(200)));
    CHECK(fixture.isInGrace());
}

TEST_CASE("A store that refuses only this node isn't unavailable")
{
    TrackerFixture fixture;
    for (int round = 0; round < 10; ++round) {
        CHECK_FALSE(fixture.failRead(milliseconds(1300)));
        CHECK_FALSE(fixture.tracker.recordAnswer(fixture.clock.now() - milliseconds(900)));
        fixture.clock.advance(milliseconds(400));
        fixture.tracker.recordAnswer(fixture.clock.now() - milliseconds(900));
    }
    CHECK_FALSE(fixture.isInGrace());
}

TEST_CASE("A node that has never been answered knows of no outage")
{
    ManualClock clock;
    clock.advance(minutes(1));
    StoreOutageTracker tracker(clock);
    CHECK_FALSE(tracker.recordFailedRead(clock.now()));
    clock.advance(seconds(5));
    CHECK_FALSE(tracker.recordAnswer(clock.now()));
    CHECK_FALSE(tracker.recentOutage());
}

TEST_CASE("The outage that a peer reports counts if this node wasn't answered meanwhile, before or after the first answer reaches it")
{
    auto isAnswered = GENERATE(true, false);
    TrackerFixture fixture;
    fixture.clock.advance(seconds(3));
    if (isAnswered) {
        CHECK_FALSE(fixture.tracker.recordAnswer(fixture.clock.now()));
        fixture.clock.advance(milliseconds(200));
        fixture.tracker.recordAnswer(fixture.clock.now());
    }
    StoreOutageReport report { milliseconds(2900), isAnswered ? milliseconds(200) : milliseconds(0) };
    CHECK(fixture.tracker.recordPeerReport(report));
    CHECK(fixture.isInGrace());
    // Its repetition by other nodes doesn't extend the grace time.
    auto graceUntil = fixture.tracker.removalGraceUntil();
    for (int repetition = 0; repetition < 5; ++repetition) {
        fixture.clock.advance(milliseconds(20));
        auto repeated = fixture.tracker.recentOutage();
        REQUIRE(repeated);
        CHECK_FALSE(fixture.tracker.recordPeerReport(*repeated));
    }
    CHECK(fixture.tracker.removalGraceUntil() == graceUntil);
}

// Guards against readers that were cut off from the store and from their peers, and afterwards take that for an outage of the store.
TEST_CASE("The outage that a peer reports doesn't count if this node was answered meanwhile")
{
    TrackerFixture fixture;
    fixture.clock.advance(milliseconds(1600));
    for (int read = 0; read < 6; ++read) {
        CHECK_FALSE(fixture.tracker.recordAnswer(fixture.clock.now()));
        fixture.clock.advance(milliseconds(660));
    }
    CHECK_FALSE(fixture.tracker.recordPeerReport({ milliseconds(5500), milliseconds(0) }));
    CHECK_FALSE(fixture.tracker.recordPeerReport({ milliseconds(1500), milliseconds(0) }));
    CHECK_FALSE(fixture.isInGrace());
    CHECK_FALSE(fixture.tracker.recentOutage());
}

TEST_CASE("A report of an outage that is over for longer than the grace time, or that ends before it starts, has no effect")
{
    TrackerFixture fixture;
    fixture.clock.advance(seconds(10));
    CHECK_FALSE(fixture.tracker.recordPeerReport({ seconds(6), seconds(3) }));
    CHECK_FALSE(fixture.tracker.recordPeerReport({ milliseconds(0), seconds(3) }));
    CHECK_FALSE(fixture.isInGrace());
}
