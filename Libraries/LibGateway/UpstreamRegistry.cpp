#include <LibGateway/UpstreamRegistry.h>

#include <LibGateway/LoadTracker.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Time for which a shutdown notice is forwarded to peers; long enough to make up for lost datagrams. */
constexpr Duration noticeForwardingTime = seconds(3);

/** Time after which a shutdown notice is removed. The entry of the process has disappeared by then. */
constexpr Duration noticeRetention = minutes(15);

/** Time for which the last entry of a removed process is known. Copies from which a store is restored are seconds to minutes old. */
constexpr Duration pastProcessRetention = minutes(15);

/** Whether a record is older than the last entry of its process, which has the sequence and was read in the era. `hasEnded` if that entry isn't usable. */
bool isOlder(const UpstreamRecord &record, std::uint64_t sequence, StoreEra era, bool hasEnded)
{
    auto mayBeOfCopy = record.era > era;
    if (record.boot.isEmpty() && !mayBeOfCopy) {
        // A lower sequence may be that of another process.
        return false;
    }
    return record.sequence < sequence || (record.sequence == sequence && mayBeOfCopy && hasEnded && !record.isDraining);
}

}

bool UpstreamRegistry::put(const UpstreamRecord &record)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (this->isOutdatedEntry(record)) {
        this->raiseEra(record);
        return false;
    }
    auto &entry = this->entries[record.id];
    if (!entry.record.id.isEmpty() && entry.record.boot != record.boot) {
        this->recordEnd(entry, entry.era);
    }
    this->pastProcesses.erase({ record.id, record.boot });
    auto isChanged = entry.record.id.isEmpty() || entry.record.boot != record.boot || entry.record.address != record.address
        || entry.record.isDraining != record.isDraining || entry.removeAt.has_value();
    auto notice = this->shutdownNotices.find(record.id);
    // An entry that names no process doesn't show that another one has started.
    if (notice != this->shutdownNotices.end() && notice->second.boot != record.boot && !record.boot.isEmpty()) {
        this->shutdownNotices.erase(notice);
    }
    this->unindex(entry.record);
    entry = Entry { record, std::nullopt, record.era };
    this->index(record);
    return isChanged;
}

bool UpstreamRegistry::isOutdated(const UpstreamRecord &record) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->isOutdatedEntry(record);
}

bool UpstreamRegistry::isOutdatedEntry(const UpstreamRecord &record) const
{
    auto entry = this->entries.find(record.id);
    if (entry != this->entries.end() && entry->second.record.boot == record.boot) {
        auto hasEnded = entry->second.record.isDraining || entry->second.removeAt.has_value();
        return isOlder(record, entry->second.record.sequence, entry->second.era, hasEnded);
    }
    auto past = this->pastProcesses.find({ record.id, record.boot });
    return past != this->pastProcesses.end() && isOlder(record, past->second.sequence, past->second.era, true);
}

void UpstreamRegistry::raiseEra(const UpstreamRecord &record)
{
    auto entry = this->entries.find(record.id);
    if (entry != this->entries.end() && entry->second.record.boot == record.boot) {
        entry->second.era = std::max(entry->second.era, record.era);
        return;
    }
    auto &past = this->pastProcesses.at({ record.id, record.boot });
    past.era = std::max(past.era, record.era);
}

void UpstreamRegistry::recordEnd(const Entry &entry, StoreEra era)
{
    auto now = this->clock.now();
    std::erase_if(this->pastProcesses, [now](const auto &past) { return past.second.endedAt + pastProcessRetention < now; });
    this->pastProcesses[{ entry.record.id, entry.record.boot }] = PastProcess { entry.record.sequence, std::max(entry.era, era), now };
}

void UpstreamRegistry::remove(const UpstreamId &upstream, StoreEra era)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    if (found != this->entries.end()) {
        this->recordEnd(found->second, era);
        this->unindex(found->second.record);
        this->entries.erase(found);
    }
}

void UpstreamRegistry::scheduleRemoval(const UpstreamId &upstream, TimePoint until, StoreEra era)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    if (found != this->entries.end() && !found->second.removeAt) {
        found->second.removeAt = until;
        found->second.era = std::max(found->second.era, era);
    }
}

bool UpstreamRegistry::recordShutdownNotice(const UpstreamShutdownNotice &notice)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto known = this->shutdownNotices.find(notice.upstream);
    if (known != this->shutdownNotices.end() && known->second.boot == notice.boot) {
        return false;
    }
    auto entry = this->entries.find(notice.upstream);
    if (entry != this->entries.end() && entry->second.record.boot != notice.boot) {
        // A late notice from a process that another one has already replaced.
        return false;
    }
    auto now = this->clock.now();
    std::erase_if(this->shutdownNotices, [&](const auto &old) { return old.second.receivedAt + noticeRetention < now; });
    this->shutdownNotices[notice.upstream] = ReceivedNotice { notice.boot, now };
    return true;
}

std::vector<UpstreamShutdownNotice> UpstreamRegistry::recentShutdownNotices(std::size_t maximumCount) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<std::pair<TimePoint, UpstreamShutdownNotice>> recent;
    for (const auto &[upstream, notice] : this->shutdownNotices) {
        if (now < notice.receivedAt + noticeForwardingTime) {
            recent.emplace_back(notice.receivedAt, UpstreamShutdownNotice { upstream, notice.boot });
        }
    }
    std::sort(recent.begin(), recent.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<UpstreamShutdownNotice> notices;
    for (std::size_t position = 0; position < std::min(maximumCount, recent.size()); ++position) {
        notices.push_back(std::move(recent[position].second));
    }
    return notices;
}

void UpstreamRegistry::setDrained(const FailureDomainId &domain, bool isDrained)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (isDrained) {
        this->drainedFailureDomains.insert(domain);
    } else {
        this->drainedFailureDomains.erase(domain);
    }
}

std::set<FailureDomainId> UpstreamRegistry::drainedDomains() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->drainedFailureDomains;
}

std::vector<UpstreamRecord> UpstreamRegistry::usableUpstreams(const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamRecord> found;
    auto domains = this->upstreamsByPool.find(pool);
    if (domains == this->upstreamsByPool.end()) {
        return found;
    }
    for (const auto &[domain, ids] : domains->second) {
        for (const auto &id : ids) {
            const auto &entry = this->entries.at(id);
            if (this->acceptsWork(entry)) {
                found.push_back(entry.record);
            }
        }
    }
    return found;
}

std::size_t UpstreamRegistry::countUsable(const PoolId &pool, const FailureDomainId &domain) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto domains = this->upstreamsByPool.find(pool);
    if (domains == this->upstreamsByPool.end() || !domains->second.contains(domain)) {
        return 0;
    }
    const auto &ids = domains->second.at(domain);
    return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [this](const auto &id) { return this->acceptsWork(this->entries.at(id)); }));
}

std::vector<UpstreamRecord> UpstreamRegistry::sampleUsable(const PoolId &pool,
                                                           const FailureDomainId &near,
                                                           std::size_t maximumNear,
                                                           std::size_t maximumFar,
                                                           RandomSource &random,
                                                           const std::function<bool(const UpstreamRecord &)> &isEligible) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamRecord> sampled;
    auto domains = this->upstreamsByPool.find(pool);
    if (domains == this->upstreamsByPool.end()) {
        return sampled;
    }
    std::vector<const UpstreamRecord *> nearUpstreams;
    std::vector<const UpstreamRecord *> farUpstreams;
    for (const auto &[domain, ids] : domains->second) {
        for (const auto &id : ids) {
            const auto &entry = this->entries.at(id);
            if (this->acceptsWork(entry) && isEligible(entry.record)) {
                (domain == near ? nearUpstreams : farUpstreams).push_back(&entry.record);
            }
        }
    }
    auto sample = [&](std::vector<const UpstreamRecord *> &eligible, std::size_t maximumCount) {
        maximumCount = std::min(maximumCount, eligible.size());
        for (std::size_t position = 0; position < maximumCount; ++position) {
            std::swap(eligible[position], eligible[position + random.below(eligible.size() - position)]);
            sampled.push_back(*eligible[position]);
        }
    };
    sample(nearUpstreams, maximumNear);
    sample(farUpstreams, maximumFar);
    return sampled;
}

std::optional<DomainPool> UpstreamRegistry::findDomainPool(std::uint64_t upstreamHash) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->domainPools.find(upstreamHash);
    return found == this->domainPools.end() ? std::nullopt : std::optional<DomainPool>(found->second);
}

void UpstreamRegistry::index(const UpstreamRecord &record)
{
    this->upstreamsByPool[record.pool][record.failureDomain].insert(record.id);
    this->domainPools[LoadTracker::hashUpstreamId(record.id)] = DomainPool { record.failureDomain, record.pool };
}

void UpstreamRegistry::unindex(const UpstreamRecord &record)
{
    auto domains = this->upstreamsByPool.find(record.pool);
    if (domains == this->upstreamsByPool.end() || !domains->second.contains(record.failureDomain)) {
        return;
    }
    domains->second.at(record.failureDomain).erase(record.id);
    this->domainPools.erase(LoadTracker::hashUpstreamId(record.id));
}

EvacuationReason UpstreamRegistry::evacuationReason(const UpstreamId &upstream, const BootId &boot) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    if (found == this->entries.end()) {
        return EvacuationReason::Draining;
    }
    if (found->second.record.boot != boot) {
        return EvacuationReason::Restarted;
    }
    auto isDraining = found->second.record.isDraining || this->isShuttingDown(found->second.record);
    if (isDraining) {
        return EvacuationReason::Draining;
    }
    auto replacement = this->replacements.find(found->second.record.pool);
    auto isReplaced = replacement != this->replacements.end() && replacement->second != found->second.record.version;
    return isReplaced ? EvacuationReason::Replaced : EvacuationReason::None;
}

std::map<PoolId, std::map<UpstreamVersion, UpstreamRegistry::VersionCount>> UpstreamRegistry::versionCounts() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::map<PoolId, std::map<UpstreamVersion, VersionCount>> counts;
    for (const auto &[id, entry] : this->entries) {
        auto &count = counts[entry.record.pool][entry.record.version];
        ++count.registered;
        count.usable += this->acceptsWork(entry) ? 1 : 0;
    }
    return counts;
}

std::set<std::uint64_t> UpstreamRegistry::upstreamsOfOtherVersions(const PoolId &pool, const UpstreamVersion &version) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::set<std::uint64_t> hashes;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.pool == pool && entry.record.version != version) {
            hashes.insert(LoadTracker::hashUpstreamId(id));
        }
    }
    return hashes;
}

void UpstreamRegistry::setReplacement(const PoolId &pool, const std::optional<UpstreamVersion> &version)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (version) {
        this->replacements[pool] = *version;
    } else {
        this->replacements.erase(pool);
    }
}

bool UpstreamRegistry::isUsable(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    return found != this->entries.end() && this->acceptsWork(found->second);
}

std::size_t UpstreamRegistry::size() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->entries.size();
}

bool UpstreamRegistry::isShuttingDown(const UpstreamRecord &record) const
{
    auto notice = this->shutdownNotices.find(record.id);
    return notice != this->shutdownNotices.end() && (notice->second.boot == record.boot || record.boot.isEmpty());
}

bool UpstreamRegistry::acceptsWork(const Entry &entry) const
{
    if (entry.record.isDraining || this->isShuttingDown(entry.record) || this->drainedFailureDomains.contains(entry.record.failureDomain)) {
        return false;
    }
    return !entry.removeAt || this->clock.now() < *entry.removeAt;
}

}
