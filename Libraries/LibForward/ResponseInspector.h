#pragma once

#include <LibForward/ForwardDependencies.h>
#include <LibForward/UpstreamCall.h>

namespace Lovageward {

/**
 * Decodes the heads of upstream responses and records the notices in them: that the upstream shuts down soon, accepts no requests for a time, limits the
 * rate of requests, or how many requests it has and how long they take.
 */
class ResponseInspector
{
public:
    explicit ResponseInspector(const ForwardDependencies &dependencies) : dependencies(dependencies)
    {
    }

    /** Returns the decoded head of the call. Notices are recorded only from responses to this request, since others may come from another upstream. */
    ResponseMetadata inspect(const RequestId &request, const UpstreamRecord &upstream, const UpstreamCall &call) const;

    /** Increments the counter of the limit that the call exceeded, if any. */
    void countExceededLimit(const UpstreamCall &call) const;

private:
    void recordLeave(const RequestId &request, const UpstreamRecord &upstream) const;
    void recordRefusal(const RequestId &request, const UpstreamRecord &upstream, Duration wait) const;
    void recordRateLimit(const RequestId &request, const UpstreamRecord &upstream, const ResponseMetadata &metadata, TimePoint sentAt) const;
    void recordLoad(const RequestId &request, const UpstreamRecord &upstream, const ResponseMetadata &metadata, const UpstreamCall &call) const;
    void writeRateLimitEvent(const char *event, const RequestId &request, const UpstreamRecord &upstream, double requestsPerSecond) const;

    const ForwardDependencies &dependencies;
};

}
