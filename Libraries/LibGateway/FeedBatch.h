#pragma once

#include <LibGateway/StateFeed.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Lovageward {

/** All records of one topic from `firstOffset` up to the next offset of the page. A node that has the records before `firstOffset` can apply it. */
struct FeedBatch
{
    FeedTopic topic = FeedTopic::Operators;
    std::uint64_t firstOffset = 0;
    FeedPage page;
};

/**
 * Splits a batch into consecutive batches whose keys and values take at most `maximumBytes` each. Stops before the first record that is larger;
 * receivers have to request the rest from a peer.
 */
std::vector<FeedBatch> splitBatch(const FeedBatch &batch, std::size_t maximumBytes);

}
