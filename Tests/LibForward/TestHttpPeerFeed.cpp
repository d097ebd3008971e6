#include <LibCore/Error.h>
#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibForward/FeedPageCache.h>
#include <LibForward/HttpPeerFeed.h>
#include <LibGateway/PeerTable.h>
#include <Support/BrokenAnswers.h>
#include <Support/ScriptedUpstream.h>

#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>

using namespace Lovageward;

// Guards against records that a peer's broken page seems to lack, and against bytes that aren't a page.
TEST_CASE("A broken page of a peer is an error")
{
    FeedPage page { { FeedRecord { "e1", "1", 0 }, FeedRecord { "e2", "2", 1 } }, 2 };
    for (const auto &answer : brokenAnswers("", encodeFeedPage(page))) {
        CAPTURE(answer.name);
        ScriptedUpstream peer([&](ScriptedConnection &connection, const std::string & /*request*/) {
            connection.send(answer.bytes);
            connection.reset();
        });
        SystemClock clock;
        SeededRandom random(1);
        PeerTable peers(clock, random, KnownHost { HostId("own"), FailureDomainId("a1"), "127.0.0.1:1" }, 1);
        PeerDigest digest;
        digest.host = HostId("peer");
        digest.failureDomain = FailureDomainId("a1");
        digest.nextOffsets = { 2, 2 };
        peers.applyDigest(peer.address(), digest);
        HttpPeerFeed feed(clock, peers, Poco::Net::SocketAddress(peer.address()).port());
        CHECK_THROWS_AS(feed.pull(FeedTopic::Operators, {}), Error);
        CHECK(peer.requests().size() == 1);
    }
}
