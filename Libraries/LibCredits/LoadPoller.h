#pragma once

#include <LibConfig/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/Counters.h>
#include <LibCore/Logger.h>
#include <LibCredits/LoadDigestSender.h>
#include <LibCredits/LoadProbe.h>
#include <LibCredits/LoadReportListener.h>
#include <LibCredits/UpstreamOwnership.h>
#include <LibMembership/ParallelRunner.h>
#include <LibMembership/PeriodicTask.h>
#include <LibPolicy/UpstreamTable.h>

#include <map>
#include <vector>

namespace Lovageward {

struct LoadPollerOptions
{
    /** Time between polls of an upstream; 2 s is meant for large deployments. */
    Duration period = seconds(1);
    /** Time that an upstream has to answer a poll. */
    Duration timeout = milliseconds(800);
    /** Time after the end of a drain for which the upstreams of the failure domain count as cold, so that credits limit the returning work. */
    Duration slowStartAfterDrain = seconds(10);
};

/**
 * Polls the upstreams that this node owns and passes the results to the table, to the listeners and, by load digests, to the
 * nodes that use the upstreams. The first report with a new boot id counts as cold whichever phase it states, and so does a
 * failed poll.
 */
class LoadPoller final : public PeriodicTask
{
public:
    LoadPoller(const Clock &clock,
               ParallelRunner &runner,
               LoadProbe &probe,
               UpstreamTable &table,
               const UpstreamOwnership &ownership,
               const Configuration &configuration,
               LoadDigestSender &sender,
               std::vector<LoadReportListener *> listeners,
               LogSink &sink,
               Counters &counters,
               const LoadPollerOptions &options = {});

    TimePoint step() override;

private:
    struct PollResult
    {
        UpstreamState upstream;
        LoadReport report;
        bool isReachable = false;
    };

    /** State of an owned upstream that is kept between polls. */
    struct PolledUpstream
    {
        BootId bootId;
        bool isDrained = false;
        /** End of the slow start after a drain. */
        TimePoint coldUntil;
    };

    std::vector<PollResult> collectOwnedUpstreams(const OwnershipView &view) const;
    void pollUpstream(PollResult &result);
    /** Changes the phase of the report to cold after a restart and during the slow start after a drain. */
    void applyColdRules(PollResult &result, TimePoint now);
    void publishResult(const PollResult &result);
    /** Notifies the listeners of the upstreams that remain in `polledUpstreams`, which this step didn't poll. */
    void notifyPollingStopped();

    const Clock &clock;
    ParallelRunner &runner;
    LoadProbe &probe;
    UpstreamTable &table;
    const UpstreamOwnership &ownership;
    const Configuration &configuration;
    LoadDigestSender &sender;
    std::vector<LoadReportListener *> listeners;
    Logger logger;
    Counter &polls;
    Counter &failures;
    Counter &reboots;
    LoadPollerOptions options;
    std::map<UpstreamId, PolledUpstream> polledUpstreams;
};

}
