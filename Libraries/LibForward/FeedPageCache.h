#pragma once

#include <LibGateway/FeedMirror.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

namespace Lovageward {

/** Encodes a page for the transfer between nodes, as deflated msgpack. Without a restoration of the store it has the form of versions without eras. */
std::string encodeFeedPage(const FeedPage &page);

/** Inverse of encodeFeedPage(). Throws Error(MalformedMessage) for bytes that aren't such a page. */
FeedPage decodeFeedPage(const std::string &bytes);

/**
 * Encodes pages of the records that this node holds and caches the last page of each topic, because nodes that start together all request the same
 * page. Thread-safe. Lock order: its mutex is taken before the mirror's.
 */
class FeedPageCache
{
public:
    explicit FeedPageCache(const FeedMirror &mirror) : mirror(mirror)
    {
    }

    /** Returns the encoded page with the records of the topic from the position on. */
    std::string encodedPage(FeedTopic topic, const FeedPosition &position);

private:
    struct CachedPage
    {
        FeedPosition from;
        FeedPosition nextPosition;
        std::string encoded;
    };

    const FeedMirror &mirror;
    std::mutex mutex;
    std::array<CachedPage, feedTopicCount> cachedPages;
};

}
