#include <LibGateway/FeedFollower.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Lovageward {

namespace {

/**
 * Time for which keys are kept that the listing of a new era lacks. Operators and upstreams write again what was lost, within a few seconds. A drain or an
 * upstream that is kept for too long costs some capacity, one that is dropped too early breaks a promise.
 */
constexpr Duration restorationGrace = seconds(10);

}

void FeedFollower::leaveOlderEra()
{
    auto era = this->targets.storeEras.current();
    auto listedEra = this->targets.mirror.nextPosition(this->topic).era;
    if (!this->isListed || era <= listedEra) {
        return;
    }
    this->events.write("store_restored", { { "topic", feedTopicName(this->topic) }, { "era", era.value() }, { "listed_era", listedEra.value() } });
    this->isListed = false;
    this->mustRelist = false;
    this->ownListingAt.reset();
    this->pullAt.reset();
    this->nextListingAt = this->clock.now();
    // Digests must not state the time of a read of the old era together with a position in the new one.
    this->lastReadTime = 0;
}

void FeedFollower::acceptEra(StoreEra era)
{
    this->targets.storeEras.record(era);
    if (era < this->targets.storeEras.current()) {
        throw Error(ResultCode::LogUnavailable, RunState::NotRun, "a response of an older era of the store is discarded");
    }
}

void FeedFollower::enterEra(const FeedPage &page)
{
    this->applyRecords(page.records);
    this->nextOffset = page.nextOffset;
    this->targets.mirror.advanceTo(this->topic, page.nextPosition());
    auto olderKeys = this->targets.mirror.keysOfOlderEras(this->topic).size();
    this->olderKeysUntil = this->clock.now() + restorationGrace;
    this->events.write(
        "store_era",
        { { "topic", feedTopicName(this->topic) }, { "era", page.era.value() }, { "records", page.records.size() }, { "missing_keys", olderKeys } });
}

void FeedFollower::removeKeysOfOlderEras()
{
    auto now = this->clock.now();
    if (!this->olderKeysUntil || now < *this->olderKeysUntil) {
        return;
    }
    // While the store is unavailable nothing can be written again.
    if (!this->isListed || this->storeOutages.isOutageOngoing() || now < this->storeOutages.removalGraceUntil()) {
        this->olderKeysUntil = now + restorationGrace;
        return;
    }
    this->olderKeysUntil.reset();
    auto position = this->targets.mirror.nextPosition(this->topic);
    for (auto &key : this->targets.mirror.keysOfOlderEras(this->topic)) {
        this->apply(FeedRecord { std::move(key), {}, std::max<std::uint64_t>(position.offset, 1) - 1, position.era });
    }
}

}
