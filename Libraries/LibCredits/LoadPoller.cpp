#include <LibCore/Error.h>
#include <LibCredits/LoadPoller.h>

#include <utility>

namespace Lovageward {

LoadPoller::LoadPoller(const Clock &clock,
                       ParallelRunner &runner,
                       LoadProbe &probe,
                       UpstreamTable &table,
                       const UpstreamOwnership &ownership,
                       const Configuration &configuration,
                       LoadDigestSender &sender,
                       std::vector<LoadReportListener *> listeners,
                       LogSink &sink,
                       Counters &counters,
                       const LoadPollerOptions &options)
    : clock(clock)
    , runner(runner)
    , probe(probe)
    , table(table)
    , ownership(ownership)
    , configuration(configuration)
    , sender(sender)
    , listeners(std::move(listeners))
    , logger(sink, "load")
    , polls(counters.counter("lovageward_load_polls_total"))
    , failures(counters.counter("lovageward_load_polls_failed_total"))
    , reboots(counters.counter("lovageward_upstream_reboots_total"))
    , options(options)
{
}

TimePoint LoadPoller::step()
{
    auto startedAt = this->clock.now();
    auto view = this->ownership.current();
    auto owned = this->collectOwnedUpstreams(*view);
    this->runner.runAll(owned.size(), [this, &owned](auto index) { this->pollUpstream(owned[index]); });
    std::map<UpstreamId, PolledUpstream> stillPolled;
    std::vector<LoadDigestEntry> entries;
    entries.reserve(owned.size());
    for (auto &result : owned) {
        this->applyColdRules(result, this->clock.now());
        this->publishResult(result);
        entries.push_back({ result.upstream.id, result.report });
        stillPolled.insert(this->polledUpstreams.extract(result.upstream.id));
    }
    this->notifyPollingStopped();
    this->polledUpstreams = std::move(stillPolled);
    this->sender.send(entries, view->digestReceivers());
    return startedAt + this->options.period;
}

void LoadPoller::notifyPollingStopped()
{
    for (const auto &[upstream, last] : this->polledUpstreams) {
        for (auto *listener : this->listeners) {
            listener->pollingStopped(upstream);
        }
    }
}

std::vector<LoadPoller::PollResult> LoadPoller::collectOwnedUpstreams(const OwnershipView &view) const
{
    std::vector<PollResult> owned;
    for (auto &upstream : this->table.allUpstreams()) {
        if (view.isOwner(upstream.id, upstream.region)) {
            owned.push_back({ std::move(upstream), {}, false });
        }
    }
    return owned;
}

void LoadPoller::pollUpstream(PollResult &result)
{
    this->polls.add();
    auto startedAt = this->clock.now();
    try {
        result.report = this->probe.probe(result.upstream.address, startedAt + this->options.timeout);
        result.report.bootId = shortenBootId(result.report.bootId);
        result.isReachable = true;
    } catch (const Error &error) {
        this->failures.add();
        this->logger.debug("polling the load of {} failed: {}", result.upstream.id.value(), error.what());
        result.report = result.upstream.report;
        result.report.phase = UpstreamPhase::Cold;
        result.report.measuredAt = startedAt;
    }
}

void LoadPoller::applyColdRules(PollResult &result, TimePoint now)
{
    auto &last = this->polledUpstreams[result.upstream.id];
    auto isDrained = this->configuration.isDrained(result.upstream.failureDomain);
    if (last.isDrained && !isDrained) {
        last.coldUntil = now + this->options.slowStartAfterDrain;
    }
    last.isDrained = isDrained;
    if (!result.isReachable) {
        return;
    }
    // A new owner knows the last boot id from the load digests of its predecessor.
    auto lastBootId = last.bootId.isEmpty() ? result.upstream.report.bootId : last.bootId;
    auto isReboot = !lastBootId.isEmpty() && lastBootId != result.report.bootId;
    last.bootId = result.report.bootId;
    if (isReboot) {
        this->reboots.add();
        this->logger.info("{} has restarted and is treated as cold", result.upstream.id.value());
    }
    if ((isReboot || now < last.coldUntil) && result.report.phase == UpstreamPhase::Warm) {
        result.report.phase = UpstreamPhase::Cold;
    }
}

void LoadPoller::publishResult(const PollResult &result)
{
    if (!result.isReachable) {
        this->table.markSuspect(result.upstream.id);
    } else {
        this->table.applyReport(result.upstream.id, result.report);
    }
    for (auto *listener : this->listeners) {
        if (result.isReachable) {
            listener->loadReported(result.upstream.id, result.report);
        } else {
            listener->upstreamUnreachable(result.upstream.id);
        }
    }
}

}
