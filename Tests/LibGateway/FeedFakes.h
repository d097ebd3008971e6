#pragma once

#include "GatewayFixture.h"

#include <LibCore/Error.h>
#include <LibGateway/FeedFollower.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <sstream>

namespace Lovageward {

/** An in-memory store that can be unavailable, expire old records and split listings into pages. */
class FakeFeed final : public StateFeed
{
public:
    FeedListing listNewest(FeedTopic /*topic*/, const std::optional<std::string> &afterKey, TimePoint /*deadline*/) override
    {
        ++this->callCount;
        this->throwIfDown();
        FeedListing listing;
        listing.page.nextOffset = this->log.size();
        listing.page.era = this->era;
        for (const auto &[key, record] : this->newest) {
            if (record.value.empty() || (afterKey && key <= *afterKey)) {
                continue;
            }
            listing.hasMore = listing.page.records.size() == this->pageSize;
            if (listing.hasMore) {
                break;
            }
            listing.page.records.push_back(record);
        }
        if (this->onPage) {
            this->onPage();
        }
        return listing;
    }

    FeedPage readFrom(FeedTopic /*topic*/, std::uint64_t offset, Duration /*wait*/, TimePoint /*deadline*/) override
    {
        ++this->callCount;
        this->throwIfDown();
        if (offset < this->firstAvailable || (offset > this->log.size() && !this->isLenientBeyondEnd)) {
            throw Error(ResultCode::RecordsExpired, RunState::NotRun, "expired");
        }
        FeedPage page;
        page.era = this->era;
        for (auto at = offset; at < this->log.size(); ++at) {
            page.records.push_back(this->log[at]);
        }
        page.nextOffset = std::max<std::uint64_t>(offset, this->log.size());
        return page;
    }

    void write(const std::string &key, const std::string &value)
    {
        FeedRecord record { key, value, this->log.size(), this->era };
        this->log.push_back(record);
        this->newest[key] = record;
    }

    /** Restores the store from its state when it had `length` records. */
    void restore(std::size_t length)
    {
        this->era = StoreEra(this->era.value() + 1);
        this->log.resize(length);
        this->newest.clear();
        for (auto &record : this->log) {
            record.era = this->era;
            this->newest[record.key] = record;
        }
    }

    StoreEra era;
    /** A read beyond the end of the log returns no records instead of failing. */
    bool isLenientBeyondEnd = false;
    /** Every read fails. */
    bool isDown = false;
    /** Limit of the records on a page of a listing. */
    std::size_t pageSize = 500;
    /** Called after each page of a listing. */
    std::function<void()> onPage;
    /** Records before this offset have expired. */
    std::uint64_t firstAvailable = 0;
    int callCount = 0;
    std::vector<FeedRecord> log;
    std::map<std::string, FeedRecord> newest;

private:
    void throwIfDown() const
    {
        if (this->isDown) {
            throw Error(ResultCode::LogUnavailable, RunState::Unknown, "down");
        }
    }
};

/**
 * Topic Operators: the value of the key "config" is the version of a configuration; any other key names a failure domain, which is drained while the value
 * isn't empty. Topic Upstreams: the key names an upstream, the value consists of its state,
 * "draining" or anything else, and optionally of its sequence and its process. The value "broken" is malformed.
 */
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
        std::istringstream fields(record.value);
        std::string state;
        std::string boot;
        fields >> state >> entry.sequence >> boot;
        entry.isDraining = state == "draining";
        entry.boot = boot.empty() ? entry.boot : BootId(boot);
        return entry;
    }
};

/** Peers whose records and reports a test sets. */
class FakePeers final : public PeerFeed
{
public:
    FeedPage pull(FeedTopic topic, const FeedPosition &position) override
    {
        ++this->pullCount;
        if (this->source == nullptr) {
            throw Error(ResultCode::PeerUnreachable, RunState::NotRun, "no peer");
        }
        return this->source->recordsSince(topic, position);
    }

    bool hasPeerWithNewerRecords(FeedTopic topic, const FeedPosition &position) const override
    {
        return this->source != nullptr && this->source->nextPosition(topic) > position;
    }

    bool isReader(FeedTopic /*topic*/) const override
    {
        return this->isStoreReader;
    }

    TimePoint freshUntil(FeedTopic /*topic*/, StoreEra minimumEra) const override
    {
        return this->freshEra >= minimumEra ? this->peersFreshUntil : TimePoint();
    }

    bool isDiscoveryComplete() const override
    {
        return this->isDirectoryKnown;
    }

    Duration drawListingDelay() override
    {
        return this->listingDelay;
    }

    Duration drawStoreCallJitter() override
    {
        return this->storeCallJitter;
    }

    Duration storeCallJitter { 0 };
    Duration listingDelay { milliseconds(200) };
    const FeedMirror *source = nullptr;
    bool isStoreReader = true;
    bool isDirectoryKnown = true;
    TimePoint peersFreshUntil;
    /** Era to which the peers' reports belong. */
    StoreEra freshEra;
    int pullCount = 0;
};

/** Counts the notifications and keeps the last batch. */
class RecordingListener final : public FeedListener
{
public:
    void onRecordsRead(const FeedBatch &batch) override
    {
        ++this->readCount;
        this->lastBatch = batch;
    }

    void onRecordsComplete(FeedTopic /*topic*/) override
    {
        ++this->completeCount;
    }

    int readCount = 0;
    int completeCount = 0;
    FeedBatch lastBatch;
};

/** A follower of one topic with everything that it uses. */
struct FollowerFixture
{
    explicit FollowerFixture(FeedTopic topic) : follower(clock, events, feed, decoder, peers, { config, registry, mirror, listener, storeEras }, topic, {})
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
    StoreEraTracker storeEras;
    RecordingListener listener;
    FeedFollower follower;
};

}
