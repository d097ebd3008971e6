#include <LibPolicy/UpstreamTable.h>

namespace Lovageward {

UpstreamTable::UpstreamTable(const Clock &clock, Duration maximumReportAge) : clock(clock), maximumReportAge(maximumReportAge)
{
}

void UpstreamTable::setUpstream(const UpstreamState &state)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto &entry = this->entries[state.id];
    auto report = entry.state.report;
    entry.state = state;
    entry.state.report = report;
    ++this->changes;
}

void UpstreamTable::removeUpstream(const UpstreamId &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->entries.erase(id);
    ++this->changes;
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
    ++this->changes;
}

void UpstreamTable::markSuspect(const UpstreamId &id)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    found->second.isSuspect = true;
    // A report that was measured before the failure must not clear the suspicion.
    found->second.state.report.measuredAt = this->clock.now();
    ++this->changes;
}

void UpstreamTable::setDrained(const std::set<FailureDomainId> &failureDomains)
{
    std::lock_guard<std::mutex> guard(this->mutex);
    this->drained = failureDomains;
    ++this->changes;
}

std::optional<UpstreamState> UpstreamTable::find(const UpstreamId &id) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return this->effective(found->second, this->clock.now());
}

std::vector<UpstreamState> UpstreamTable::upstreamsOf(const PoolId &pool) const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<UpstreamState> states;
    for (const auto &[id, entry] : this->entries) {
        if (entry.state.pool == pool) {
            states.push_back(this->effective(entry, now));
        }
    }
    return states;
}

std::vector<UpstreamState> UpstreamTable::all() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    auto now = this->clock.now();
    std::vector<UpstreamState> states;
    states.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries) {
        states.push_back(this->effective(entry, now));
    }
    return states;
}

std::uint64_t UpstreamTable::version() const
{
    std::lock_guard<std::mutex> guard(this->mutex);
    return this->changes;
}

UpstreamState UpstreamTable::effective(const Entry &entry, TimePoint now) const
{
    auto state = entry.state;
    auto isStale = !entry.hasReport || state.report.measuredAt + this->maximumReportAge < now;
    if (isStale || entry.isSuspect) {
        state.report.phase = UpstreamPhase::Cold;
    }
    if (state.isLeaving || this->drained.contains(state.failureDomain)) {
        state.report.phase = UpstreamPhase::Leaving;
    }
    return state;
}

}
