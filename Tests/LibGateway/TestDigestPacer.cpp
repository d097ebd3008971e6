#include <LibCore/ManualClock.h>
#include <LibGateway/DigestPacer.h>
#include <LibGateway/PeerDigest.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

namespace {

constexpr std::size_t peers = 64;

}

TEST_CASE("New records are told to all peers at once, also right after a digest to all")
{
    ManualClock clock;
    DigestPacer pacer;
    REQUIRE(pacer.due(clock.now()) == DigestAudience::All);
    pacer.sent(clock.now(), DigestAudience::All, peers, false);
    clock.advance(milliseconds(1));
    CHECK(pacer.due(clock.now()) == DigestAudience::Nobody);
    pacer.recordsRead();
    CHECK(pacer.due(clock.now()) == DigestAudience::All);
    pacer.sent(clock.now(), DigestAudience::All, peers, false);
    CHECK(pacer.due(clock.now()) == DigestAudience::Nobody);
}

TEST_CASE("Changes of load are told to near peers, and no faster than 200 digests a second")
{
    ManualClock clock;
    DigestPacer pacer;
    pacer.due(clock.now());
    pacer.sent(clock.now(), DigestAudience::All, peers, false);
    pacer.loadChanged();
    CHECK(pacer.due(clock.now()) == DigestAudience::Nobody);
    CHECK(pacer.next() == clock.now() + milliseconds(320));
    clock.advance(milliseconds(320));
    CHECK(pacer.due(clock.now()) == DigestAudience::Near);
    pacer.sent(clock.now(), DigestAudience::Near, 10, false);
    CHECK(pacer.due(clock.now()) == DigestAudience::Nobody);
    CHECK(pacer.next() == TimePoint() + digestInterval(peers));
    pacer.loadChanged();
    CHECK(pacer.next() == clock.now() + milliseconds(50));
}

TEST_CASE("All peers hear of a node at an interval that grows with their number, of a reader at least every 300 ms")
{
    for (auto isReader : { false, true }) {
        ManualClock clock;
        DigestPacer pacer;
        pacer.due(clock.now());
        pacer.sent(clock.now(), DigestAudience::All, peers, isReader);
        auto interval = isReader ? Duration(milliseconds(300)) : digestInterval(peers);
        CHECK(pacer.next() == clock.now() + interval);
        clock.advance(interval);
        CHECK(pacer.due(clock.now()) == DigestAudience::All);
    }
}
