#include <LibGateway/FeedFollower.h>

#include <LibCore/Error.h>
#include <LibGateway/PeerTable.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Longest wait for the store's response beyond the time for which it may hold a read open. A healthy store responds within a few milliseconds. */
constexpr Duration readTimeout = milliseconds(700);

/** Longest wait for a page of a listing, which can be a megabyte over a slow link. */
constexpr Duration listingPageTimeout = milliseconds(1200);

/** Pause after a failed store read. Records are pulled from peers meanwhile. */
constexpr Duration pauseAfterFailure = milliseconds(400);

/** Factor by which nodes that aren't readers lengthen the random delay of their next store read after a failure. */
constexpr int nonReaderRetryFactor = 4;

/** Interval at which a node that follows the readers checks their reports. */
constexpr Duration peerCheckInterval = milliseconds(400);

/** Interval at which a starting node checks whether a peer has listed the topic. */
constexpr Duration listingCheckInterval = milliseconds(50);

/** Largest number of records that are logged one by one. */
constexpr std::size_t maximumLoggedRecords = 32;

/** Longest time between a digest that reports new records and their arrival through a relay. */
constexpr Duration batchArrivalTime = milliseconds(120);

/** Limit of the received batches that wait for the next step. It is reached only while a step waits for the store; dropped records are pulled later. */
constexpr std::size_t maximumReceivedBatches = 64;

std::string_view topicName(FeedTopic topic)
{
    if (topic == FeedTopic::Status) {
        return "status";
    }
    return topic == FeedTopic::Operators ? "operators" : "upstreams";
}

}

FeedFollower::FeedFollower(const Clock &clock,
                           EventLog &events,
                           StateFeed &feed,
                           const FeedDecoder &decoder,
                           PeerFeed &peers,
                           FeedTargets targets,
                           FeedTopic topic,
                           FeedPollTiming pollTiming)
    : clock(clock), events(events), feed(feed), decoder(decoder), peers(peers), targets(targets), topic(topic), pollTiming(pollTiming), storeOutages(clock)
{
}

TimePoint FeedFollower::lastReadAt() const
{
    return TimePoint(Duration(this->lastReadTime.load()));
}

void FeedFollower::receive(FeedBatch batch)
{
    std::lock_guard<std::mutex> guard(this->receivedMutex);
    if (this->receivedBatches.size() < maximumReceivedBatches) {
        this->receivedBatches.push_back(std::move(batch));
    }
}

void FeedFollower::applyReceivedBatches()
{
    std::vector<FeedBatch> batches;
    {
        std::lock_guard<std::mutex> guard(this->receivedMutex);
        batches.swap(this->receivedBatches);
    }
    std::sort(batches.begin(), batches.end(), [](const auto &left, const auto &right) { return left.firstOffset < right.firstOffset; });
    for (const auto &batch : batches) {
        auto knownOffset = this->targets.mirror.nextOffset(this->topic);
        // A batch after a gap is dropped: only a pull brings the missing records.
        if (this->isListed && batch.firstOffset <= knownOffset && knownOffset < batch.page.nextOffset) {
            // Nodes send new records as soon as the store has answered.
            this->recordAnswer(this->clock.now() - hopAgeAllowance);
            this->applyPage(batch.page);
            this->events.write("peer_records",
                               { { "topic", topicName(this->topic) }, { "records", batch.page.records.size() }, { "offset", batch.page.nextOffset } });
        }
    }
}

void FeedFollower::applyPage(const FeedPage &page)
{
    this->applyRecords(page.records);
    this->targets.mirror.advanceTo(this->topic, page.nextOffset);
    this->nextOffset = std::max(this->nextOffset, page.nextOffset);
}

void FeedFollower::applyRecords(const std::vector<FeedRecord> &records)
{
    this->isBulkUpdate = records.size() > maximumLoggedRecords;
    for (const auto &record : records) {
        this->apply(record);
    }
    this->isBulkUpdate = false;
}

void FeedFollower::markListed()
{
    this->isListed = true;
    this->mustRelist = false;
    this->isSynced = true;
    this->targets.listener.onRecordsComplete(this->topic);
}

TimePoint FeedFollower::step()
{
    this->recordPeerAnswers();
    this->applyReceivedBatches();
    auto startedAt = this->clock.now();
    try {
        if (!this->isListed) {
            if (!this->mustRelist && this->shouldWaitForPeers()) {
                return this->clock.now() + listingCheckInterval;
            }
            this->listTopic();
        } else if (auto next = this->syncFromPeers()) {
            return *next;
        } else if (this->clock.now() < this->nextStoreReadAt) {
            return this->nextStoreReadAt;
        } else {
            this->readNewRecords();
        }
        this->nextStoreReadAt = this->clock.now() + this->pollTiming.pauseAfterRead;
        return this->nextStoreReadAt;
    } catch (const Error &error) {
        if (error.code() == ResultCode::RecordsExpired) {
            this->events.write("feed_expired", { { "topic", topicName(this->topic) }, { "offset", this->nextOffset } });
            this->isListed = false;
            this->mustRelist = true;
            return this->clock.now();
        }
        this->recordFailedRead(startedAt, error.what());
    }
    // Peers may have been answered while the read of this node was pending.
    this->recordPeerAnswers();
    this->pullFromPeers();
    if (!this->peers.isReader(this->topic)) {
        // The readers retry at the usual pace. The other nodes retry less often, in case all readers are cut off from the store.
        this->nextStoreReadAt = this->clock.now() + pauseAfterFailure + nonReaderRetryFactor * this->peers.drawStoreCallJitter();
    }
    return this->clock.now() + pauseAfterFailure;
}

bool FeedFollower::shouldWaitForPeers()
{
    if (!this->peers.isDiscoveryComplete()) {
        return true;
    }
    if (this->peers.hasPeerWithNewerRecords(this->topic, 0)) {
        this->pullFromPeers();
        if (this->isSynced) {
            this->markListed();
            return true;
        }
    }
    auto now = this->clock.now();
    if (!this->ownListingAt) {
        this->ownListingAt = now + this->peers.drawListingDelay();
    }
    if (now < *this->ownListingAt && !this->peers.isReader(this->topic)) {
        return true;
    }
    // If this listing fails, the next one waits for another random delay.
    this->ownListingAt.reset();
    return false;
}

FeedPage FeedFollower::fetchListing()
{
    FeedPage complete;
    std::optional<std::string> lastKey;
    for (bool hasMore = true; hasMore;) {
        auto listing = this->feed.listNewest(this->topic, lastKey, this->clock.now() + listingPageTimeout);
        // Records written between the pages are read again, from the next offset of the first page.
        complete.nextOffset = lastKey ? std::min(complete.nextOffset, listing.page.nextOffset) : listing.page.nextOffset;
        hasMore = listing.hasMore && !listing.page.records.empty();
        for (auto &record : listing.page.records) {
            lastKey = record.key;
            complete.records.push_back(std::move(record));
        }
    }
    return complete;
}

void FeedFollower::listTopic()
{
    auto page = this->fetchListing();
    // Ends an outage before removals are applied, so that they are deferred.
    this->recordSuccessfulRead();
    this->applyRecords(page.records);
    this->removeUnlisted(page);
    this->nextOffset = page.nextOffset;
    this->targets.mirror.advanceTo(this->topic, page.nextOffset);
    this->markListed();
    this->events.write("feed_listed", { { "topic", topicName(this->topic) }, { "records", page.records.size() }, { "offset", page.nextOffset } });
}

void FeedFollower::readNewRecords()
{
    auto firstOffset = this->nextOffset;
    auto page = this->feed.readFrom(this->topic, firstOffset, this->pollTiming.maximumWait, this->clock.now() + this->pollTiming.maximumWait + readTimeout);
    this->recordSuccessfulRead();
    auto hasNewRecords = page.nextOffset > this->targets.mirror.nextOffset(this->topic);
    this->applyPage(page);
    if (hasNewRecords && !page.records.empty()) {
        this->targets.listener.onRecordsRead(FeedBatch { this->topic, firstOffset, page });
    }
}

std::optional<TimePoint> FeedFollower::syncFromPeers()
{
    if (this->peers.isReader(this->topic)) {
        return std::nullopt;
    }
    auto now = this->clock.now();
    auto freshUntil = this->peers.freshUntil(this->topic);
    if (freshUntil <= now) {
        // The readers may be lost or cut off from the store: only a read of this node's own shows whether the store is available.
        if (!this->fallbackReadAt) {
            this->fallbackReadAt = now + this->peers.drawStoreCallJitter();
            this->events.write(
                "readers_silent",
                { { "topic", topicName(this->topic) }, { "read_in_ms", std::chrono::duration_cast<milliseconds>(*this->fallbackReadAt - now).count() } });
        }
        return now < *this->fallbackReadAt ? this->fallbackReadAt : std::nullopt;
    }
    this->fallbackReadAt.reset();
    this->endReadFailure();
    auto knownOffset = this->targets.mirror.nextOffset(this->topic);
    if (this->isPullDue(knownOffset)) {
        this->pullFromPeers();
        if (this->targets.mirror.nextOffset(this->topic) == knownOffset) {
            return std::nullopt;
        }
    }
    // A digest that reports new records wakes the follower earlier.
    auto next = std::min(freshUntil, this->clock.now() + peerCheckInterval);
    return this->pullAt ? std::min(next, *this->pullAt) : next;
}

bool FeedFollower::isPullDue(std::uint64_t knownOffset)
{
    if (!this->peers.hasPeerWithNewerRecords(this->topic, knownOffset)) {
        this->pullAt.reset();
        return false;
    }
    if (!this->pullAt || this->pullOffset != knownOffset) {
        this->pullAt = this->clock.now() + batchArrivalTime;
        this->pullOffset = knownOffset;
    }
    if (this->clock.now() < *this->pullAt) {
        return false;
    }
    this->pullAt.reset();
    return true;
}

void FeedFollower::apply(const FeedRecord &record)
{
    if (!this->targets.mirror.putIfNewer(this->topic, record)) {
        return;
    }
    try {
        auto change = this->decoder.decode(this->topic, record, this->clock.now());
        if (change) {
            this->applyChange(*change, record);
        }
    } catch (const std::exception &error) {
        this->events.write("record_ignored", { { "topic", topicName(this->topic) }, { "key", record.key }, { "reason", error.what() } });
        if (this->topic == FeedTopic::Upstreams) {
            // The current state of the upstream is unknown, so it isn't used.
            this->targets.registry.remove(UpstreamId(record.key));
        }
    }
}

void FeedFollower::applyChange(const FeedChange &change, const FeedRecord &record)
{
    if (const auto *config = std::get_if<std::shared_ptr<const GatewayConfig>>(&change)) {
        auto isNewer = this->targets.config.updateIfNewer(*config);
        this->events.write("config", { { "version", (*config)->version().value() }, { "offset", record.offset }, { "in_force", isNewer } });
    } else if (const auto *drain = std::get_if<DrainChange>(&change)) {
        this->targets.registry.setDrained(drain->domain, drain->isDrained);
        this->events.write("drain", { { "domain", drain->domain.value() }, { "drained", drain->isDrained }, { "offset", record.offset } });
    } else if (const auto *entry = std::get_if<UpstreamRecord>(&change)) {
        if (this->targets.registry.put(*entry) && !this->isBulkUpdate) {
            this->events.write("upstream",
                               { { "upstream", entry->id.value() },
                                 { "boot", entry->boot.value() },
                                 { "pool", entry->pool.value() },
                                 { "domain", entry->failureDomain.value() },
                                 { "draining", entry->isDraining },
                                 { "offset", record.offset } });
        }
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&change)) {
        auto graceUntil = this->storeOutages.removalGraceUntil();
        auto isDeferred = this->clock.now() < graceUntil;
        if (isDeferred) {
            this->targets.registry.scheduleRemoval(removal->upstream, graceUntil);
        } else {
            this->targets.registry.remove(removal->upstream);
        }
        this->events.write("upstream_removed", { { "upstream", removal->upstream.value() }, { "offset", record.offset }, { "doubtful", isDeferred } });
    } else if (this->targets.rollouts != nullptr) {
        this->applyRolloutChange(change);
    }
}

void FeedFollower::applyRolloutChange(const FeedChange &change)
{
    if (const auto *order = std::get_if<RolloutOrder>(&change)) {
        this->targets.rollouts->applyOrder(*order);
    } else if (const auto *status = std::get_if<RolloutStatus>(&change)) {
        this->targets.rollouts->applyStatus(*status);
    }
}

void FeedFollower::removeUnlisted(const FeedPage &page)
{
    for (auto &missing : this->targets.mirror.keysMissingFrom(this->topic, page.records)) {
        this->apply(FeedRecord { std::move(missing), {}, std::max<std::uint64_t>(page.nextOffset, 1) - 1 });
    }
}

void FeedFollower::recordSuccessfulRead()
{
    auto now = this->clock.now();
    this->lastReadTime = now.time_since_epoch().count();
    this->recordAnswer(now);
    this->endReadFailure();
}

void FeedFollower::recordFailedRead(TimePoint startedAt, const std::string &reason)
{
    auto isOutage = this->storeOutages.recordFailedRead(startedAt);
    if (!this->readsFailSince || isOutage) {
        this->events.write("store_lost", { { "topic", topicName(this->topic) }, { "reason", reason }, { "outage", isOutage } });
    }
    this->readsFailSince = this->readsFailSince.value_or(startedAt);
}

void FeedFollower::endReadFailure()
{
    if (!this->readsFailSince) {
        return;
    }
    auto lostTime = std::chrono::duration_cast<milliseconds>(this->clock.now() - *this->readsFailSince);
    this->events.write("store_regained", { { "topic", topicName(this->topic) }, { "lost_ms", lostTime.count() } });
    this->readsFailSince.reset();
}

void FeedFollower::recordPeerAnswers()
{
    auto freshUntil = this->peers.freshUntil(this->topic);
    if (freshUntil != TimePoint()) {
        this->recordAnswer(std::min(PeerTable::readTimeOf(freshUntil), this->clock.now()));
    }
}

void FeedFollower::recordAnswer(TimePoint answeredAt)
{
    if (auto outage = this->storeOutages.recordAnswer(answeredAt)) {
        auto duration = std::chrono::duration_cast<milliseconds>(outage->endedAt - outage->startedAt);
        this->events.write("store_outage", { { "topic", topicName(this->topic) }, { "outage_ms", duration.count() }, { "source", "read" } });
    }
}

void FeedFollower::recordPeerOutage(const StoreOutageReport &report)
{
    if (this->storeOutages.recordPeerReport(report)) {
        auto duration = std::chrono::duration_cast<milliseconds>(report.startAge - report.endAge);
        this->events.write("store_outage", { { "topic", topicName(this->topic) }, { "outage_ms", duration.count() }, { "source", "peer" } });
    }
}

void FeedFollower::pullFromPeers()
{
    if (this->isListed && !this->peers.hasPeerWithNewerRecords(this->topic, this->targets.mirror.nextOffset(this->topic))) {
        return;
    }
    try {
        auto knownOffset = this->targets.mirror.nextOffset(this->topic);
        auto page = this->peers.pull(this->topic, knownOffset);
        this->applyPage(page);
        this->isSynced = this->isSynced || page.nextOffset > 0;
        this->events.write("peer_pull", { { "topic", topicName(this->topic) }, { "records", page.records.size() }, { "offset", page.nextOffset } });
    } catch (const Error &error) {
        this->events.write("peer_pull_failed", { { "topic", topicName(this->topic) }, { "reason", error.what() } });
    }
}

}
