#include <LibForward/FeedPageCache.h>
#include <LibPeer/Compression.h>

#include <catch2/catch.hpp>

using namespace Lovageward;

TEST_CASE("A page is unchanged after encoding and decoding, with the eras of its records")
{
    for (auto era : { StoreEra(0), StoreEra(2) }) {
        FeedPage page { { FeedRecord { "kept", "1", 9, StoreEra(0) }, FeedRecord { "e1", "", 3, era } }, 4, era };
        auto decoded = decodeFeedPage(encodeFeedPage(page));
        CHECK(decoded.nextPosition() == page.nextPosition());
        REQUIRE(decoded.records.size() == 2);
        CHECK(decoded.records[0].position() == FeedPosition { StoreEra(0), 9 });
        CHECK(decoded.records[0].value == "1");
        CHECK(decoded.records[1].position() == FeedPosition { era, 3 });
    }
}

// Guards against pages that nodes of versions without eras can't read where the store was never restored.
TEST_CASE("A page of era 0 has the two values of versions without eras")
{
    constexpr char arrayOf2 = '\x92';
    CHECK(inflated(encodeFeedPage(FeedPage { { FeedRecord { "e1", "1", 3 } }, 4 }), 1000).front() == arrayOf2);
}

// Guards against a cached page of the old era that is sent for the same offset of the new one.
TEST_CASE("A cached page is encoded again when the topic enters a new era at the same offset")
{
    FeedMirror mirror;
    FeedPageCache cache(mirror);
    mirror.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e1", "1", 0 });
    mirror.advanceTo(FeedTopic::Upstreams, { StoreEra(0), 1 });
    CHECK(decodeFeedPage(cache.encodedPage(FeedTopic::Upstreams, {})).records.at(0).value == "1");
    mirror.putIfNewer(FeedTopic::Upstreams, FeedRecord { "e1", "2", 0, StoreEra(1) });
    mirror.advanceTo(FeedTopic::Upstreams, { StoreEra(1), 1 });
    auto page = decodeFeedPage(cache.encodedPage(FeedTopic::Upstreams, {}));
    CHECK(page.nextPosition() == FeedPosition { StoreEra(1), 1 });
    CHECK(page.records.at(0).value == "2");
}
