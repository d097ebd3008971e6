#include <LibForward/ResponseInspector.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr int firstClientErrorStatus = 400;

}

ResponseMetadata ResponseInspector::inspect(const RequestId &request, const UpstreamRecord &upstream, const UpstreamCall &call) const
{
    auto metadata = this->dependencies.protocol.decodeResponse(call.head());
    auto isOwn = !metadata.isInstanceMismatch && (metadata.requestId.isEmpty() || metadata.requestId == request);
    if (isOwn && metadata.isShuttingDown) {
        this->recordLeave(request, upstream);
    }
    if (isOwn && metadata.retryAfter > Duration(0)) {
        this->recordRefusal(request, upstream, metadata.retryAfter);
    }
    if (isOwn) {
        this->recordRateLimit(request, upstream, metadata, call.sentAt());
        this->recordLoad(request, upstream, metadata, call);
    }
    return metadata;
}

void ResponseInspector::recordLeave(const RequestId &request, const UpstreamRecord &upstream) const
{
    if (!this->dependencies.registry.recordShutdownNotice(UpstreamShutdownNotice { upstream.id, upstream.boot })) {
        return;
    }
    this->dependencies.counters.counter("lovageward_upstream_leaves_told_total").add();
    this->dependencies.events.write(
        "upstream_leaving",
        { { "request", request.value() }, { "upstream", upstream.id.value() }, { "boot", upstream.boot.value() }, { "told_by", "answer" } });
    this->dependencies.placementListener.upstreamNoticeReceived();
}

void ResponseInspector::recordRefusal(const RequestId &request, const UpstreamRecord &upstream, Duration wait) const
{
    this->dependencies.refusals.recordRefusal(upstream, wait);
    this->dependencies.counters.counter("lovageward_upstream_refusals_for_a_time_total").add();
    this->dependencies.events.write(
        "upstream_refuses",
        { { "request", request.value() }, { "upstream", upstream.id.value() }, { "wait_ms", std::chrono::duration_cast<milliseconds>(wait).count() } });
}

void ResponseInspector::recordRateLimit(const RequestId &request, const UpstreamRecord &upstream, const ResponseMetadata &metadata, TimePoint sentAt) const
{
    if (metadata.requestsPerSecond) {
        if (this->dependencies.rateLimits.recordLimit(upstream, *metadata.requestsPerSecond)) {
            this->dependencies.counters.counter("lovageward_upstream_rate_limits_stated_total").add();
            this->writeRateLimitEvent("upstream_rate_limit", request, upstream, *metadata.requestsPerSecond);
            this->dependencies.placementListener.upstreamNoticeReceived();
        }
        return;
    }
    if (metadata.hasRateLimit) {
        this->writeRateLimitEvent("upstream_rate_limit_malformed", request, upstream, this->dependencies.rateLimits.limit(upstream).value_or(0));
        return;
    }
    // A response without id or stamp may not come from the upstream itself, which would repeat its limit.
    auto isGenuine = metadata.hasServerStamp && metadata.requestId == request;
    if (isGenuine && this->dependencies.rateLimits.recordUnlimited(upstream, sentAt)) {
        this->writeRateLimitEvent("upstream_rate_limit_ended", request, upstream, 0);
        this->dependencies.placementListener.upstreamNoticeReceived();
    }
}

void ResponseInspector::recordLoad(const RequestId &request, const UpstreamRecord &upstream, const ResponseMetadata &metadata, const UpstreamCall &call) const
{
    // A response without id or stamp may come from a proxy or from another process at the same address.
    auto isGenuine = metadata.hasServerStamp && metadata.requestId == request;
    if (!metadata.load || !isGenuine) {
        return;
    }
    this->dependencies.counters.counter("lovageward_upstream_loads_reported_total").add();
    if (metadata.load->waiting > 0) {
        this->dependencies.counters.counter("lovageward_upstream_loads_with_waiting_requests_total").add();
    }
    if (call.head().status < firstClientErrorStatus) {
        this->dependencies.speeds.recordServiceTime(upstream, *metadata.load, call.headReceivedAt() - call.sentAt());
    }
    if (this->dependencies.speeds.recordReport(upstream, *metadata.load, call.headReceivedAt())) {
        this->dependencies.events.write("upstream_load",
                                        { { "request", request.value() },
                                          { "upstream", upstream.id.value() },
                                          { "boot", upstream.boot.value() },
                                          { "running", metadata.load->running },
                                          { "waiting", metadata.load->waiting },
                                          { "slowness_percent", metadata.load->slowness.value_or(0) } });
        this->dependencies.placementListener.upstreamLoadReported();
    }
}

void ResponseInspector::writeRateLimitEvent(const char *event, const RequestId &request, const UpstreamRecord &upstream, double requestsPerSecond) const
{
    this->dependencies.events.write(event,
                                    { { "request", request.value() },
                                      { "upstream", upstream.id.value() },
                                      { "boot", upstream.boot.value() },
                                      { "requests_per_second", requestsPerSecond } });
}

void ResponseInspector::countExceededLimit(const UpstreamCall &call) const
{
    if (!call.exceededLimit().empty()) {
        this->dependencies.counters.counter(fmt::format("lovageward_answers_too_long_total{{bound=\"{}\"}}", call.exceededLimit())).add();
    }
}

}
