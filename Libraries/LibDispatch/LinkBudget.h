#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Ids.h>
#include <LibCore/TokenBucket.h>

#include <cstddef>
#include <memory>
#include <mutex>

namespace Lovageward {

/**
 * Limits this node's part of the link between regions, which is slow and billed by volume. Bytes of streams and of control traffic
 * are counted and limited by two token buckets, whose rates add up to the link rate divided by the region's live nodes. Traffic over
 * budget is delayed, never cut. Thread-safe; its mutex may be taken while any other lock of the dispatcher is held.
 */
class LinkBudget
{
public:
    /**
     * `linkBytesPerSecond` is the rate of the whole link in one direction. `controlShare` is the fraction of this node's part, 0 to 1,
     * that is reserved for control traffic.
     */
    LinkBudget(const Clock &clock, Counters &counters, double linkBytesPerSecond, double controlShare);

    /** Sets the number of live nodes in this node's region, which share the link. 0 counts as 1. */
    void setLiveNodeCount(std::size_t count);

    /** Counts bytes of a stream that cross regions. Returns the time before which the stream should send no more bytes. */
    TimePoint accountStreamBytes(ByteCount bytes);

    /**
     * Counts bytes of control traffic, which may also use the unused budget of streams. Returns the time before which no more control
     * traffic should be sent.
     */
    TimePoint accountControlBytes(ByteCount bytes);

    /** True while streams have used up their budget, so that new work should stay in this region. */
    bool isExhausted() const;

private:
    /** Replaces a bucket by one with the new rate in bytes per second. It starts empty and keeps the debt, so that no burst is granted twice. */
    void rescaleBucket(std::unique_ptr<TokenBucket> &bucket, double oldRate, double newRate);
    double nodeRate(double share) const;

    const Clock &clock;
    double linkBytesPerSecond;
    double controlShare;
    mutable std::mutex mutex;
    std::size_t liveNodeCount = 1;
    std::unique_ptr<TokenBucket> streamBucket;
    std::unique_ptr<TokenBucket> controlBucket;
    Counter &streamBytes;
    Counter &controlBytes;
    Counter &delays;
};

}
