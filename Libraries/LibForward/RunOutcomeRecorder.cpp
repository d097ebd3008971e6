#include <LibForward/RunOutcomeRecorder.h>

namespace Lovageward {

void RunOutcomeRecorder::recordSuccess(const ForwardedRequest &request) const
{
    if (this->dependencies.queriesOfDeath.recordSuccess(request.sharedPromptParts())) {
        this->dependencies.placementListener.upstreamNoticeReceived();
    }
}

void RunOutcomeRecorder::recordFailure(const ForwardedRequest &request, const UpstreamRecord &upstream, const UpstreamCall &call) const
{
    if (!call.hasConnectionEnded()) {
        return;
    }
    // An upstream that shuts down also cuts the runs that outlast its notice.
    auto isLeaving = this->dependencies.registry.evacuationReason(upstream.id, upstream.boot) == EvacuationReason::Draining;
    this->dependencies.counters.counter("lovageward_upstream_connections_lost_total").add();
    this->dependencies.events.write("upstream_connection_lost",
                                    { { "request", request.id.value() },
                                      { "upstream", upstream.id.value() },
                                      { "boot", upstream.boot.value() },
                                      { "prompt_parts", joinSharedPromptParts(request) },
                                      { "leaving", isLeaving } });
    if (isLeaving || !this->dependencies.queriesOfDeath.recordCrash(upstream, request.sharedPromptParts())) {
        return;
    }
    this->dependencies.placementListener.upstreamNoticeReceived();
    if (auto quarantine = this->dependencies.queriesOfDeath.findQuarantine(request.sharedPromptParts())) {
        this->dependencies.events.write("prompt_part_quarantined",
                                        { { "request", request.id.value() }, { "part", quarantine->part }, { "until", toMilliseconds(quarantine->until) } });
    }
}

std::string joinSharedPromptParts(const ForwardedRequest &request)
{
    std::string ids;
    for (const auto &part : request.sharedPromptParts()) {
        ids += ids.empty() ? part.id : "," + part.id;
    }
    return ids;
}

}
