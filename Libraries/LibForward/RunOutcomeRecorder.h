#pragma once

#include <LibForward/ForwardDependencies.h>
#include <LibForward/UpstreamCall.h>

#include <string>

namespace Lovageward {

/** Records how the calls to upstreams end, as evidence about the requests that they executed. */
class RunOutcomeRecorder
{
public:
    explicit RunOutcomeRecorder(const ForwardDependencies &dependencies) : dependencies(dependencies)
    {
    }

    /** Records that an upstream has executed the request with success, or has produced output for so long that the request doesn't crash it. */
    void recordSuccess(const ForwardedRequest &request) const;

    /** Records a call that has failed. Only the end of the connection is evidence that the upstream has crashed; other failures are ignored. */
    void recordFailure(const ForwardedRequest &request, const UpstreamRecord &upstream, const UpstreamCall &call) const;

private:
    const ForwardDependencies &dependencies;
};

/** The ids of the request's shared prompt parts, separated by commas, for log lines. */
std::string joinSharedPromptParts(const ForwardedRequest &request);

}
