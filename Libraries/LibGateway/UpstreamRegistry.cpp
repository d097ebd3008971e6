#include <LibGateway/UpstreamRegistry.h>

namespace Lovageward {

bool UpstreamRegistry::put(const UpstreamRecord &record)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &entry = this->entries[record.id];
    auto isChanged = entry.record.id.isEmpty() || entry.record.boot != record.boot || entry.record.address != record.address
        || entry.record.isDraining != record.isDraining || entry.removedAt.has_value();
    entry = Entry { record, std::nullopt };
    return isChanged;
}

void UpstreamRegistry::remove(const UpstreamId &upstream)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->entries.erase(upstream);
}

void UpstreamRegistry::removeUnlessReturned(const UpstreamId &upstream, TimePoint until)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    if (found != this->entries.end() && !found->second.removedAt) {
        found->second.removedAt = until;
    }
}

std::vector<UpstreamId> UpstreamRegistry::missingFrom(const std::set<UpstreamId> &listed) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamId> missing;
    for (const auto &[id, entry] : this->entries) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

void UpstreamRegistry::setDrained(const FailureDomainId &domain, bool isDrained)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    if (isDrained) {
        this->drained.insert(domain);
    } else {
        this->drained.erase(domain);
    }
}

std::set<FailureDomainId> UpstreamRegistry::drainedDomains() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->drained;
}

std::vector<UpstreamRecord> UpstreamRegistry::usable(const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    std::vector<UpstreamRecord> found;
    for (const auto &[id, entry] : this->entries) {
        if (entry.record.pool == pool && this->mayWork(entry)) {
            found.push_back(entry.record);
        }
    }
    return found;
}

LeaveReason UpstreamRegistry::leaveReason(const UpstreamId &upstream, const BootId &boot) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    if (found == this->entries.end()) {
        return LeaveReason::Draining;
    }
    if (found->second.record.boot != boot) {
        return LeaveReason::Restarted;
    }
    return found->second.record.isDraining ? LeaveReason::Draining : LeaveReason::None;
}

bool UpstreamRegistry::isUsable(const UpstreamId &upstream) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(upstream);
    return found != this->entries.end() && this->mayWork(found->second);
}

std::size_t UpstreamRegistry::size() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->entries.size();
}

bool UpstreamRegistry::mayWork(const Entry &entry) const
{
    if (entry.record.isDraining || this->drained.contains(entry.record.failureDomain)) {
        return false;
    }
    return !entry.removedAt || this->clock.now() < *entry.removedAt;
}

}
