#pragma once

#include <LibForward/ForwardDependencies.h>
#include <LibForward/UpstreamCall.h>
#include <LibGateway/RequestAdmission.h>

#include <functional>
#include <memory>
#include <vector>

namespace Lovageward {

/** One attempt to execute a request: the placement at an upstream and the call that was sent there. */
struct UpstreamAttempt
{
    PlacedRun placement;
    std::unique_ptr<UpstreamCall> call;
};

/** State of one request across its attempts. */
struct RetryState
{
    /** Upstreams that must not be tried again. */
    std::vector<UpstreamId> excludedUpstreams;
    /** Number of times that the request was sent to an upstream, including upstreams that refused it. */
    std::uint32_t sentRequests = 0;
    /** Number of attempts in which the request may have run. */
    std::uint32_t possibleRuns = 0;
};

/** Thrown when the caller disconnects before its response is complete. */
class CallerDisconnected final : public std::exception
{
};

/** Completes the options of a request once its upstream is chosen. */
using OptionsCompletion = std::function<void(ForwardOptions &options, const UpstreamRecord &upstream)>;

/** Places requests at upstreams, connects and sends them. */
class UpstreamDialer
{
public:
    explicit UpstreamDialer(const ForwardDependencies &dependencies) : dependencies(dependencies)
    {
    }

    /**
     * Places the request, waiting for capacity for at most a fraction of the target latency, and sends it. Throws CallerDisconnected, or Error with
     * NoCapacity, RetryBudgetExhausted or PromptQuarantined; in all cases this call sent nothing.
     */
    UpstreamAttempt open(const AdmittedRequest &work,
                         RetryState &retryState,
                         const ForwardOptions &options,
                         CallerChannel &caller,
                         const OptionsCompletion &complete = {}) const;

    /** Sends the request to the upstream of an existing placement. Throws Poco::Exception if the connection fails or the deadline has passed. */
    std::unique_ptr<UpstreamCall> sendTo(const AdmittedRequest &work, const PlacedRun &placement, ForwardOptions options, RetryState &retryState) const;

    /** Throws Error(PromptQuarantined) if upstreams crash under requests like this one. */
    void rejectIfQuarantined(const AdmittedRequest &work) const;

    PlacementConstraints placementNeed(const AdmittedRequest &work, const RetryState &retryState) const;

private:
    /** Error for a request that could not be placed, with a Retry-After that fits the cause. */
    Error noCapacityError(const PlacementResult &result, const std::string &message) const;
    [[noreturn]] void rejectForCapacity(const AdmittedRequest &work, const PlacementResult &result) const;
    /** Waits in WaitingRequests, for as long as the response can still be complete in time. Only for engines and first attempts. */
    PlacedRun awaitTurn(const AdmittedRequest &work, CallerChannel &caller) const;
    [[noreturn]] void rejectWaiting(const AdmittedRequest &work, const WaitStep &step) const;
    /** Throws if the result of a placement shows that waiting any longer is of no use. */
    void rejectIfUnservable(const AdmittedRequest &work, const PlacementResult &result, TimePoint waitDeadline) const;
    PlacedRun awaitCapacity(const AdmittedRequest &work, const RetryState &retryState, CallerChannel &caller) const;

    const ForwardDependencies &dependencies;
};

}
