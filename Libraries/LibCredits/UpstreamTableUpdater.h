#pragma once

#include <LibConfig/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/Logger.h>
#include <LibCredits/UpstreamOwnership.h>
#include <LibMembership/HostListListener.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPolicy/UpstreamTable.h>

#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace Lovageward {

/**
 * Updates the UpstreamTable from the host list, the drains and the bounded fan-out: adds the upstreams that this node uses or
 * owns, marks leaving upstreams, and removes all others. An empty host list is treated as a fault of its source and ignored.
 * Register it as listener of the HostListPoller and run it by a TaskThread; a drain takes effect in the next step.
 * Thread-safe. Lock order: the mutex guards the last host list and is taken before the table's mutex.
 */
class UpstreamTableUpdater final : public HostListListener, public PeriodicTask
{
public:
    UpstreamTableUpdater(const Clock &clock,
                         UpstreamTable &table,
                         const Configuration &configuration,
                         const UpstreamOwnership &ownership,
                         LogSink &sink,
                         Duration period = milliseconds(500));

    void hostListFetched(const std::vector<ListedHost> &hosts) override;

    /** Applies changed drains and ownerships. */
    TimePoint step() override;

private:
    void applyUpstreams(const OwnershipView &view);
    void applyDrains();

    const Clock &clock;
    UpstreamTable &table;
    const Configuration &configuration;
    const UpstreamOwnership &ownership;
    Logger logger;
    Duration period;
    std::mutex mutex;
    /** Upstreams in the last host list. */
    std::vector<ListedHost> listedUpstreams;
    std::set<FailureDomainId> listedDomains;
    /** Upstreams that this class has added to the table. */
    std::set<UpstreamId> tableUpstreams;
    std::set<FailureDomainId> drainedDomains;
    std::shared_ptr<const OwnershipView> appliedView;
};

}
