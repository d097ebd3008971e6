#pragma once

#include <LibForward/ForwardOutcome.h>
#include <LibForward/ResponseInspector.h>
#include <LibForward/RunOutcomeRecorder.h>
#include <LibForward/UpstreamDialer.h>
#include <LibHttp1/MessageHead.h>

#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** A complete response of an upstream. */
struct BufferedResponse
{
    ResponseHead head;
    std::string body;
};

/**
 * Forwards requests with unary responses. A response is buffered completely before it is sent to the caller, so that the request can be retried if
 * the response is interrupted; a response too large to buffer is forwarded as it arrives. Only requests that are idempotent or certainly did not run
 * are retried.
 */
class UnaryForwarder
{
public:
    explicit UnaryForwarder(const ForwardDependencies &dependencies)
        : dependencies(dependencies), inspector(dependencies), outcomes(dependencies), dialer(dependencies)
    {
    }

    /** Sends the response to the caller. Throws CallerDisconnected, or Error with the run state if nothing was sent to the caller. */
    ForwardOutcome forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive) const;

private:
    enum class AttemptResult {
        Responded,
        NotRun,
        Failed,
        TimedOut,
        /** The response exceeds the buffer; its first part has arrived. */
        TooLargeToBuffer,
    };

    /** Value of the log field "ending". */
    /** Records the result as evidence about the version of the upstream. */
    static void observe(const UpstreamAttempt &attempt, AttemptResult result);
    static std::string_view attemptResultName(AttemptResult result);

    AttemptResult awaitResponse(const AdmittedRequest &work, UpstreamAttempt &attempt, TimePoint attemptDeadline, CallerChannel &caller) const;
    AttemptResult classifyResponse(const AdmittedRequest &work, const UpstreamAttempt &attempt) const;
    ForwardOutcome sendBuffered(const BufferedResponse &response, CallerChannel &caller, bool isKeepAlive) const;
    /** Forwards a large response as it arrives. */
    ForwardOutcome sendProgressively(const AdmittedRequest &work, UpstreamAttempt &attempt, CallerChannel &caller, bool isKeepAlive) const;
    /** Records a complete response as a success of the request, unless it is a client error, for which the upstream ran nothing. */
    void recordSuccessfulRun(const AdmittedRequest &work, const UpstreamAttempt &attempt) const;
    void recordAttempt(const AdmittedRequest &work, const UpstreamAttempt &attempt, std::string_view result) const;
    TimePoint attemptDeadline(const AdmittedRequest &work, const RetryState &retryState) const;
    bool mayRetry(const AdmittedRequest &work, const RetryState &retryState) const;

    const ForwardDependencies &dependencies;
    ResponseInspector inspector;
    RunOutcomeRecorder outcomes;
    UpstreamDialer dialer;
};

}
