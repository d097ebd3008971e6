#include <LibForward/RunOutcomeRecorder.h>

namespace Lovageward {

void RunOutcomeRecorder::recordFailure(const ForwardedRequest &request, const UpstreamRecord &upstream, const UpstreamCall &call) const
{
    if (!call.isConnectionLost()) {
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
