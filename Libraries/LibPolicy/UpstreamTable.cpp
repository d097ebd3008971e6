#include <LibPolicy/Hashing.h>
#include <LibPolicy/UpstreamTable.h>

#include <algorithm>

namespace Lovageward {

UpstreamTable::UpstreamTable(const Clock &clock, Duration maximumReportAge) : clock(clock), maximumReportAge(maximumReportAge)
{
}

void UpstreamTable::setUpstream(const UpstreamState &state)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto [position, isNew] = this->entries.try_emplace(state.id);
    auto &entry = position->second;
    if (isNew) {
        entry.slot = this->nextSlot++;
        entry.idHash = hashText(state.id.value());
        this->entryBySlot[entry.slot] = &entry;
    } else {
        this->removeFromGroup(entry);
    }
    auto report = entry.state.report;
    entry.state = state;
    entry.state.report = report;
    entry.isDrained = this->drainedDomains.contains(state.failureDomain);
    this->addToGroup(entry);
    ++this->changeCount;
}

void UpstreamTable::removeUpstream(const UpstreamId &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found != this->entries.end()) {
        this->removeFromGroup(found->second);
        this->entryBySlot.erase(found->second.slot);
        this->entries.erase(found);
    }
    ++this->changeCount;
}

void UpstreamTable::applyReport(const UpstreamId &id, const LoadReport &report)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.hasReport && report.measuredAt < entry.state.report.measuredAt) {
        return;
    }
    entry.state.report = report;
    entry.hasReport = true;
    entry.isSuspect = false;
    ++this->changeCount;
}

void UpstreamTable::markSuspect(const UpstreamId &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    found->second.isSuspect = true;
    // Rejects reports that were measured before the failure, which would clear the mark.
    found->second.state.report.measuredAt = this->clock.now();
    ++this->changeCount;
}

void UpstreamTable::setDrainedDomains(const std::set<FailureDomainId> &failureDomains)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drainedDomains = failureDomains;
    for (auto &[id, entry] : this->entries) {
        entry.isDrained = this->drainedDomains.contains(entry.state.failureDomain);
    }
    ++this->changeCount;
}

std::optional<UpstreamState> UpstreamTable::find(const UpstreamId &id) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return this->effectiveState(found->second, this->clock.now());
}

std::vector<UpstreamState> UpstreamTable::upstreamsOf(const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<UpstreamState> states;
    for (const auto &[id, entry] : this->entries) {
        if (entry.state.pool == pool) {
            states.push_back(this->effectiveState(entry, now));
        }
    }
    return states;
}

std::vector<UpstreamState> UpstreamTable::allUpstreams() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<UpstreamState> states;
    states.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries) {
        states.push_back(this->effectiveState(entry, now));
    }
    return states;
}

std::uint64_t UpstreamTable::version() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->changeCount;
}

std::size_t UpstreamTable::sample(const UpstreamSampleRequest &request, RandomSource &random, std::vector<UpstreamSummary> &summaries) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->groupsByPool.find(request.pool);
    if (found == this->groupsByPool.end()) {
        return 0;
    }
    const auto &groups = found->second;
    auto size = groupSize(groups, request);
    auto now = this->clock.now();
    auto count = std::min(size, request.limit);
    if (count == 0) {
        return size;
    }
    auto first = request.affinityHash == 0 ? random.below(size) : jumpHash(request.affinityHash, size);
    // A stride of one takes consecutive positions, which covers a small group completely. A larger stride contributes one random
    // position each time, so that the positions are distinct.
    auto stride = size / count;
    for (std::size_t index = 0; index < count; ++index) {
        auto jitter = index == 0 || stride == 1 ? 0 : random.below(stride);
        auto position = (first + index * stride + jitter) % size;
        summaries.push_back(this->summarize(groupMember(groups, request, position), now));
    }
    return size;
}

std::optional<std::uint32_t> UpstreamTable::slotOf(const UpstreamId &id) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.slot);
}

std::optional<UpstreamId> UpstreamTable::idOf(std::uint32_t slot) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entryBySlot.find(slot);
    return found == this->entryBySlot.end() ? std::nullopt : std::optional(found->second->state.id);
}

UpstreamPhase UpstreamTable::effectivePhase(const Entry &entry, TimePoint now) const
{
    if (entry.state.isLeaving || entry.isDrained) {
        return UpstreamPhase::Leaving;
    }
    auto isStale = !entry.hasReport || entry.state.report.measuredAt + this->maximumReportAge < now;
    return isStale || entry.isSuspect ? UpstreamPhase::Cold : entry.state.report.phase;
}

UpstreamState UpstreamTable::effectiveState(const Entry &entry, TimePoint now) const
{
    auto state = entry.state;
    state.report.phase = this->effectivePhase(entry, now);
    return state;
}

UpstreamSummary UpstreamTable::summarize(const Entry &entry, TimePoint now) const
{
    const auto &report = entry.state.report;
    return { .slot = entry.slot,
             .phase = this->effectivePhase(entry, now),
             .hasReport = entry.hasReport,
             .running = report.running,
             .waiting = report.waiting,
             .coldLimit = report.coldLimit,
             .kvBlocksUsed = report.kvBlocksUsed.value(),
             .kvBlocksTotal = report.kvBlocksTotal.value(),
             .measuredAt = report.measuredAt,
             .idHash = entry.idHash };
}

void UpstreamTable::addToGroup(const Entry &entry)
{
    auto &group = this->groupsByPool[entry.state.pool][entry.state.region];
    // Sorted by id, so that positions are equal on every node, which prefix affinity requires.
    auto place = std::lower_bound(group.begin(), group.end(), &entry, [](const Entry *left, const Entry *right) { return left->state.id < right->state.id; });
    group.insert(place, &entry);
}

void UpstreamTable::removeFromGroup(const Entry &entry)
{
    auto &groups = this->groupsByPool[entry.state.pool];
    auto &group = groups[entry.state.region];
    std::erase(group, &entry);
    if (group.empty()) {
        groups.erase(entry.state.region);
    }
}

std::size_t UpstreamTable::groupSize(const RegionGroups &groups, const UpstreamSampleRequest &request)
{
    std::size_t size = 0;
    for (const auto &[region, group] : groups) {
        size += (region == request.region) == request.isInRegion ? group.size() : 0;
    }
    return size;
}

const UpstreamTable::Entry &UpstreamTable::groupMember(const RegionGroups &groups, const UpstreamSampleRequest &request, std::size_t position)
{
    auto current = groups.begin();
    for (;; ++current) {
        if ((current->first == request.region) != request.isInRegion) {
            continue;
        }
        if (position < current->second.size()) {
            return *current->second[position];
        }
        position -= current->second.size();
    }
}

}
