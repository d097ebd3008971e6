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

/**
 * Shortest time for which a node that starts after a restoration of the store waits for a peer's records, which may be newer than the copy. Peers answer the
 * first digest of a new node at once.
 */
constexpr Duration restoredListingDelay = milliseconds(300);

/** Largest number of records that are logged one by one. */
constexpr std::size_t maximumLoggedRecords = 32;

/** Longest time between a digest that reports new records and their arrival through a relay. */
constexpr Duration batchArrivalTime = milliseconds(120);

/** Limit of the received batches that wait for the next step. It is reached only while a step waits for the store; dropped records are pulled later. */
constexpr std::size_t maximumReceivedBatches = 64;

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
        auto knownPosition = this->targets.mirror.nextPosition(this->topic);
        // A batch after a gap or of another era is dropped: only a pull brings the missing records.
        if (this->isListed && batch.page.era == knownPosition.era && batch.firstOffset <= knownPosition.offset
            && knownPosition.offset < batch.page.nextOffset) {
            // Nodes send new records as soon as the store has answered.
            this->recordAnswer(this->clock.now() - hopAgeAllowance);
            this->applyPage(batch.page);
            this->events.write("peer_records",
                               { { "topic", feedTopicName(this->topic) }, { "records", batch.page.records.size() }, { "offset", batch.page.nextOffset } });
        }
    }
}

void FeedFollower::applyPage(const FeedPage &page)
{
    this->applyRecords(page.records);
    this->targets.mirror.advanceTo(this->topic, page.nextPosition());
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
    this->removeKeysOfOlderEras();
    auto next = this->followTopic();
    return this->olderKeysUntil ? std::min(next, *this->olderKeysUntil) : next;
}

TimePoint FeedFollower::followTopic()
{
    this->leaveOlderEra();
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
        return this->isListed ? this->nextStoreReadAt : this->clock.now();
    } catch (const Error &error) {
        if (error.code() == ResultCode::RecordsExpired) {
            this->events.write("feed_expired", { { "topic", feedTopicName(this->topic) }, { "offset", this->nextOffset } });
            this->isListed = false;
            this->mustRelist = true;
            return this->clock.now();
        }
        this->recordFailedRead(startedAt, error.what());
    }
    // Peers may have been answered while the read of this node was pending.
    this->recordPeerAnswers();
    this->pullFromPeers();
    this->nextListingAt = this->clock.now() + pauseAfterFailure;
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
    FeedPosition startOfEra { this->targets.storeEras.current(), 0 };
    if (this->peers.hasPeerWithNewerRecords(this->topic, startOfEra)) {
        this->pullFromPeers();
        if (this->targets.mirror.nextPosition(this->topic) > startOfEra) {
            this->markListed();
            return true;
        }
    }
    auto now = this->clock.now();
    if (now < this->nextListingAt && this->peers.isReader(this->topic)) {
        return true;
    }
    auto mayCopyBeOlder = !this->isSynced && startOfEra.era > StoreEra();
    if (!this->ownListingAt) {
        auto delay = this->peers.drawListingDelay();
        this->ownListingAt = now + (mayCopyBeOlder ? std::max(delay, restoredListingDelay) : delay);
    }
    if (now < *this->ownListingAt && (mayCopyBeOlder || !this->peers.isReader(this->topic))) {
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
        this->acceptEra(listing.page.era);
        if (lastKey && listing.page.era != complete.era) {
            throw Error(ResultCode::LogUnavailable, RunState::NotRun, "the store was restored during the listing");
        }
        complete.era = listing.page.era;
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
    if (page.era > this->targets.mirror.nextPosition(this->topic).era) {
        this->enterEra(page);
    } else {
        this->applyRecords(page.records);
        this->removeUnlisted(page);
        this->nextOffset = page.nextOffset;
        this->targets.mirror.advanceTo(this->topic, page.nextPosition());
    }
    this->markListed();
    this->events.write("feed_listed", { { "topic", feedTopicName(this->topic) }, { "records", page.records.size() }, { "offset", page.nextOffset } });
}

void FeedFollower::readNewRecords()
{
    auto firstOffset = this->nextOffset;
    auto page = this->feed.readFrom(this->topic, firstOffset, this->pollTiming.maximumWait, this->clock.now() + this->pollTiming.maximumWait + readTimeout);
    this->acceptEra(page.era);
    this->leaveOlderEra();
    if (!this->isListed) {
        // The offset was one of the old era.
        return;
    }
    this->recordSuccessfulRead();
    auto hasNewRecords = page.nextPosition() > this->targets.mirror.nextPosition(this->topic);
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
    auto freshUntil = this->peers.freshUntil(this->topic, this->targets.storeEras.current());
    if (freshUntil <= now) {
        // The readers may be lost or cut off from the store: only a read of this node's own shows whether the store is available.
        if (!this->fallbackReadAt) {
            this->fallbackReadAt = now + this->peers.drawStoreCallJitter();
            this->events.write(
                "readers_silent",
                { { "topic", feedTopicName(this->topic) }, { "read_in_ms", std::chrono::duration_cast<milliseconds>(*this->fallbackReadAt - now).count() } });
        }
        return now < *this->fallbackReadAt ? this->fallbackReadAt : std::nullopt;
    }
    this->fallbackReadAt.reset();
    this->endReadFailure();
    auto knownPosition = this->targets.mirror.nextPosition(this->topic);
    if (this->isPullDue(knownPosition)) {
        this->pullFromPeers();
        if (this->targets.mirror.nextPosition(this->topic) == knownPosition) {
            return std::nullopt;
        }
    }
    // A digest that reports new records wakes the follower earlier.
    auto next = std::min(freshUntil, this->clock.now() + peerCheckInterval);
    return this->pullAt ? std::min(next, *this->pullAt) : next;
}

bool FeedFollower::isPullDue(const FeedPosition &knownPosition)
{
    if (!this->peers.hasPeerWithNewerRecords(this->topic, knownPosition)) {
        this->pullAt.reset();
        return false;
    }
    if (!this->pullAt || this->pullPosition != knownPosition) {
        this->pullAt = this->clock.now() + batchArrivalTime;
        this->pullPosition = knownPosition;
    }
    if (this->clock.now() < *this->pullAt) {
        return false;
    }
    this->pullAt.reset();
    return true;
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
        this->events.write("store_lost", { { "topic", feedTopicName(this->topic) }, { "reason", reason }, { "outage", isOutage } });
    }
    this->readsFailSince = this->readsFailSince.value_or(startedAt);
}

void FeedFollower::endReadFailure()
{
    if (!this->readsFailSince) {
        return;
    }
    auto lostTime = std::chrono::duration_cast<milliseconds>(this->clock.now() - *this->readsFailSince);
    this->events.write("store_regained", { { "topic", feedTopicName(this->topic) }, { "lost_ms", lostTime.count() } });
    this->readsFailSince.reset();
}

void FeedFollower::recordPeerAnswers()
{
    auto freshUntil = this->peers.freshUntil(this->topic, this->targets.storeEras.current());
    if (freshUntil != TimePoint()) {
        this->recordAnswer(std::min(PeerTable::readTimeOf(freshUntil), this->clock.now()));
    }
}

void FeedFollower::recordAnswer(TimePoint answeredAt)
{
    if (auto outage = this->storeOutages.recordAnswer(answeredAt)) {
        auto duration = std::chrono::duration_cast<milliseconds>(outage->endedAt - outage->startedAt);
        this->events.write("store_outage", { { "topic", feedTopicName(this->topic) }, { "outage_ms", duration.count() }, { "source", "read" } });
    }
}

void FeedFollower::recordPeerOutage(const StoreOutageReport &report)
{
    if (this->storeOutages.recordPeerReport(report)) {
        auto duration = std::chrono::duration_cast<milliseconds>(report.startAge - report.endAge);
        this->events.write("store_outage", { { "topic", feedTopicName(this->topic) }, { "outage_ms", duration.count() }, { "source", "peer" } });
    }
}

void FeedFollower::pullFromPeers()
{
    if (this->isListed && !this->peers.hasPeerWithNewerRecords(this->topic, this->targets.mirror.nextPosition(this->topic))) {
        return;
    }
    try {
        auto knownPosition = this->targets.mirror.nextPosition(this->topic);
        auto page = this->peers.pull(this->topic, knownPosition);
        this->acceptEra(page.era);
        if (page.era > knownPosition.era) {
            this->lastReadTime = 0;
            this->enterEra(page);
        } else {
            this->applyPage(page);
        }
        this->isSynced = this->isSynced || page.nextOffset > 0;
        this->events.write("peer_pull", { { "topic", feedTopicName(this->topic) }, { "records", page.records.size() }, { "offset", page.nextOffset } });
    } catch (const Error &error) {
        this->events.write("peer_pull_failed", { { "topic", feedTopicName(this->topic) }, { "reason", error.what() } });
    }
}

}
