#include <LibCredits/UpstreamTableUpdater.h>

#include <algorithm>
#include <iterator>

namespace Lovageward {

UpstreamTableUpdater::UpstreamTableUpdater(
    const Clock &clock, UpstreamTable &table, const Configuration &configuration, const UpstreamOwnership &ownership, LogSink &sink, Duration period)
    : clock(clock), table(table), configuration(configuration), ownership(ownership), logger(sink, "upstreams"), period(period)
{
}

void UpstreamTableUpdater::hostListFetched(const std::vector<ListedHost> &hosts)
{
    if (hosts.empty()) {
        this->logger.warning("ignored an empty host list");
        return;
    }
    auto view = this->ownership.current();
    std::lock_guard<std::mutex> guard(this->mutex);
    this->listedUpstreams.clear();
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(this->listedUpstreams), [](const auto &row) { return row.kind == HostKind::Upstream; });
    this->listedDomains.clear();
    for (const auto &row : this->listedUpstreams) {
        this->listedDomains.insert(row.failureDomain);
    }
    this->applyUpstreams(*view);
    this->appliedView = view;
    this->applyDrains();
}

TimePoint UpstreamTableUpdater::step()
{
    auto view = this->ownership.current();
    std::lock_guard<std::mutex> guard(this->mutex);
    if (view != this->appliedView) {
        this->applyUpstreams(*view);
        this->appliedView = view;
    }
    this->applyDrains();
    return this->clock.now() + this->period;
}

void UpstreamTableUpdater::applyUpstreams(const OwnershipView &view)
{
    std::set<UpstreamId> usedUpstreams;
    for (const auto &row : this->listedUpstreams) {
        UpstreamId id(row.name);
        if (!view.isUsedBySelf(id, row.region)) {
            continue;
        }
        usedUpstreams.insert(id);
        this->table.setUpstream({ id, row.pool, row.region, row.failureDomain, row.address, row.isLeaving, {} });
    }
    for (const auto &id : this->tableUpstreams) {
        if (!usedUpstreams.contains(id)) {
            this->table.removeUpstream(id);
        }
    }
    this->tableUpstreams = std::move(usedUpstreams);
}

void UpstreamTableUpdater::applyDrains()
{
    std::set<FailureDomainId> currentlyDrained;
    for (const auto &failureDomain : this->listedDomains) {
        if (this->configuration.isDrained(failureDomain)) {
            currentlyDrained.insert(failureDomain);
        }
    }
    if (currentlyDrained == this->drainedDomains) {
        return;
    }
    for (const auto &row : this->listedUpstreams) {
        // After a drain, the upstreams of the failure domain count as cold until their owner reports them as warm.
        if (this->drainedDomains.contains(row.failureDomain) && !currentlyDrained.contains(row.failureDomain)) {
            this->table.markSuspect(UpstreamId(row.name));
        }
    }
    this->drainedDomains = std::move(currentlyDrained);
    this->table.setDrainedDomains(this->drainedDomains);
}

}
