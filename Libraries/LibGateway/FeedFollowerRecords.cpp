#include <LibGateway/FeedFollower.h>

#include <algorithm>

namespace Lovageward {

void FeedFollower::apply(const FeedRecord &record)
{
    auto previous = this->targets.mirror.find(this->topic, record.key);
    if (!this->targets.mirror.putIfNewer(this->topic, record)) {
        return;
    }
    try {
        auto change = this->decoder.decode(this->topic, record, this->clock.now());
        if (auto *entry = change ? std::get_if<UpstreamRecord>(&*change) : nullptr) {
            entry->era = record.era;
        }
        if (change && previous && this->isOutdated(*change, record, *previous)) {
            // Peers that read the mirror must not learn the older value either.
            this->targets.mirror.replaceValue(this->topic, record.key, previous->value);
            this->events.write("record_outdated", { { "topic", feedTopicName(this->topic) }, { "key", record.key }, { "offset", record.offset } });
        }
        if (change) {
            this->applyChange(*change, record);
        }
    } catch (const std::exception &error) {
        this->events.write("record_ignored", { { "topic", feedTopicName(this->topic) }, { "key", record.key }, { "reason", error.what() } });
        if (this->topic == FeedTopic::Upstreams) {
            // The current state of the upstream is unknown, so it isn't used.
            this->targets.registry.remove(UpstreamId(record.key), record.era);
        }
    }
}

bool FeedFollower::isOutdated(const FeedChange &change, const FeedRecord &record, const FeedRecord &previous) const
{
    if (const auto *config = std::get_if<std::shared_ptr<const GatewayConfig>>(&change)) {
        auto active = this->targets.config.current();
        return active && (*config)->version() < active->version() && previous.era < record.era;
    }
    const auto *entry = std::get_if<UpstreamRecord>(&change);
    return entry != nullptr && this->targets.registry.isOutdated(*entry);
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
            this->targets.registry.scheduleRemoval(removal->upstream, graceUntil, record.era);
        } else {
            this->targets.registry.remove(removal->upstream, record.era);
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
        this->apply(FeedRecord { std::move(missing), {}, std::max<std::uint64_t>(page.nextOffset, 1) - 1, page.era });
    }
}

}
