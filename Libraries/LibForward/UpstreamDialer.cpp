#include <LibForward/UpstreamDialer.h>

#include <LibForward/DescriptorSignal.h>
#include <LibGateway/RetryAfterPolicy.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

/** A handshake takes 40 ms between regions. A lost SYN is retransmitted after one second, for which it isn't worth waiting. */
constexpr Duration connectTimeout = milliseconds(400);

/** Connection attempts per request before it is rejected. */
constexpr std::uint32_t maximumConnectAttempts = 4;

/** A request waits for capacity for this fraction of its target latency. A caller that is rejected by then can still be served in time by another node. */
constexpr int capacityWaitDivisor = 8;

/** Interval between two placement attempts. */
constexpr Duration capacityCheckInterval = milliseconds(15);

/** A failed connection counts twice as much as an error response for UpstreamHealth, because the upstream isn't reachable at all. */
constexpr double connectionFailureWeight = 2;

/** Retry-After of a request that was waiting when the node began to shut down; short, because the retry reaches another node. */
constexpr Duration shutdownRetryAfter = milliseconds(50);

WaitingRequest describeWait(const AdmittedRequest &work)
{
    WaitingRequest request;
    request.pool = work.pool->id;
    request.route = work.route->id;
    request.team = work.team;
    request.timing = RequestTiming { work.request.arrivedAt, work.route->targetLatency, work.deadline, work.priority, work.footprint };
    request.allowedRegions = work.allowedRegions;
    request.heldBytes = work.request.body.size();
    return request;
}

}

Error UpstreamDialer::noCapacityError(const PlacementResult &result, const std::string &message) const
{
    RetryAfterPolicy advice(this->dependencies.random);
    // Also if this node's share of the request rates is used up, because the caller's next attempt reaches another node.
    auto retryAfter = advice.delayWhenFull();
    if (result.outcome == PickOutcome::NoUpstream) {
        retryAfter = advice.delayWhenNotReady();
    } else if (result.outcome == PickOutcome::Refused) {
        retryAfter = advice.delayUntil(this->dependencies.clock.now(), result.availableAt);
    }
    return Error(ResultCode::NoCapacity, RunState::NotRun, message, retryAfter);
}

void UpstreamDialer::rejectForCapacity(const AdmittedRequest &work, const PlacementResult &result) const
{
    std::string reason = "no upstream is known";
    if (result.outcome == PickOutcome::NoRoom) {
        reason = "all upstreams are full";
    } else if (result.outcome == PickOutcome::Refused) {
        reason = "all upstreams refuse requests for a time";
    } else if (result.outcome == PickOutcome::RateLimited) {
        reason = "the request rates of all upstreams are used up";
    }
    this->dependencies.events.write("no_room",
                                    { { "request", work.request.id.value() },
                                      { "pool", work.pool->id.value() },
                                      { "reason", reason },
                                      { "candidates", result.candidates },
                                      { "peak_tokens", work.footprint.peakTokens(0) } });
    throw this->noCapacityError(result, reason);
}

void UpstreamDialer::rejectIfQuarantined(const AdmittedRequest &work) const
{
    auto quarantine = this->dependencies.queriesOfDeath.findQuarantine(work.request.sharedPromptParts());
    if (quarantine) {
        throw Error(ResultCode::PromptQuarantined,
                    RunState::NotRun,
                    fmt::format("upstreams crash under requests with the prompt part '{}'", quarantine->part),
                    quarantine->until - this->dependencies.clock.now());
    }
}

PlacementConstraints UpstreamDialer::placementNeed(const AdmittedRequest &work, const RetryState &retryState) const
{
    return PlacementConstraints { *work.route, *work.pool, work.footprint, work.allowedRegions, retryState.excludedUpstreams };
}

void UpstreamDialer::rejectIfUnservable(const AdmittedRequest &work, const PlacementResult &result, TimePoint waitDeadline) const
{
    if (this->dependencies.drain.isDraining()) {
        throw Error(ResultCode::ShuttingDown, RunState::NotRun, "the node shuts down before capacity is free", shutdownRetryAfter);
    }
    // Another node has its own share of the request rates, so a retry is better than a long wait here. Without any upstream, the wait has no known end.
    auto isRateLimited = result.outcome == PickOutcome::RateLimited && result.availableAt >= waitDeadline;
    auto isWithoutUpstream = result.outcome == PickOutcome::NoUpstream && this->dependencies.clock.now() >= waitDeadline;
    if (result.outcome == PickOutcome::Refused || isRateLimited || isWithoutUpstream) {
        this->rejectForCapacity(work, result);
    }
}

void UpstreamDialer::rejectWaiting(const AdmittedRequest &work, const WaitStep &step) const
{
    auto now = this->dependencies.clock.now();
    this->dependencies.counters.counter(fmt::format("lovageward_wait_rejected_total{{reason=\"{}\",priority=\"{}\"}}", step.reason, work.priority)).add();
    this->dependencies.events.write("wait_rejected",
                                    { { "request", work.request.id.value() },
                                      { "pool", work.pool->id.value() },
                                      { "reason", step.reason },
                                      { "waited_ms", std::chrono::duration_cast<milliseconds>(now - work.request.arrivedAt).count() },
                                      { "predicted_wait_ms", std::chrono::duration_cast<milliseconds>(step.predictedWait).count() } });
    throw Error(ResultCode::NoCapacity, RunState::NotRun, step.reason, step.retryAfter);
}

PlacedRun UpstreamDialer::awaitTurn(const AdmittedRequest &work, CallerChannel &caller) const
{
    auto waitDeadline = std::min(work.request.arrivedAt + work.route->targetLatency / capacityWaitDivisor, work.deadline);
    DescriptorSignal signal;
    WaitingEntry entry(this->dependencies.waitingRequests, describeWait(work), signal);
    auto startedAt = this->dependencies.clock.now();
    auto hasWaited = false;
    while (true) {
        auto step = entry.next();
        if (step.action == WaitStep::Action::Reject) {
            this->rejectWaiting(work, step);
        }
        if (step.action == WaitStep::Action::Attempt) {
            auto need = this->placementNeed(work, RetryState());
            need.following = step.following;
            auto result = this->dependencies.placer.place(need);
            entry.recordAttempt(result);
            if (result.outcome == PickOutcome::Picked) {
                this->dependencies.placementListener.loadChanged();
                if (hasWaited) {
                    auto waited = std::chrono::duration_cast<milliseconds>(this->dependencies.clock.now() - startedAt).count();
                    this->dependencies.events.write("wait_placed",
                                                    { { "request", work.request.id.value() }, { "priority", work.priority }, { "waited_ms", waited } });
                }
                return std::move(result.run);
            }
            this->rejectIfUnservable(work, result, waitDeadline);
        } else if (this->dependencies.drain.isDraining()) {
            this->rejectIfUnservable(work, PlacementResult(), waitDeadline);
        }
        if (!std::exchange(hasWaited, true)) {
            this->dependencies.events.write("wait_begin", { { "request", work.request.id.value() }, { "priority", work.priority } });
        }
        DescriptorPoller poller;
        auto callerIndex = poller.add(caller.descriptor());
        poller.add(signal.descriptor());
        poller.wait(this->dependencies.clock, step.checkAt);
        if (poller.isReadable(callerIndex) && caller.isDisconnected()) {
            throw CallerDisconnected();
        }
        signal.clear();
    }
}

PlacedRun UpstreamDialer::awaitCapacity(const AdmittedRequest &work, const RetryState &retryState, CallerChannel &caller) const
{
    // Repeats and streams that are resumed try at once, because their callers have waited before and the work done so far would be lost.
    auto isFirstAttempt = retryState.sentRequests == 0 && retryState.excludedUpstreams.empty();
    if (this->dependencies.waitOrder == WaitOrder::Deadline && work.pool->engine && isFirstAttempt) {
        return this->awaitTurn(work, caller);
    }
    auto waitDeadline = std::min(work.request.arrivedAt + work.route->targetLatency / capacityWaitDivisor, work.deadline);
    while (true) {
        auto result = this->dependencies.placer.place(this->placementNeed(work, retryState));
        if (result.outcome == PickOutcome::Picked) {
            this->dependencies.placementListener.loadChanged();
            return std::move(result.run);
        }
        // Waiting for an upstream that isn't available in time would only delay the error response.
        auto isTooLate = result.outcome == PickOutcome::Refused || (result.outcome == PickOutcome::RateLimited && result.availableAt >= waitDeadline);
        if (isTooLate || this->dependencies.clock.now() >= waitDeadline) {
            this->rejectForCapacity(work, result);
        }
        DescriptorPoller poller;
        poller.add(caller.descriptor());
        if (poller.wait(this->dependencies.clock, std::min(waitDeadline, this->dependencies.clock.now() + capacityCheckInterval)) && caller.isDisconnected()) {
            throw CallerDisconnected();
        }
    }
}

UpstreamAttempt UpstreamDialer::open(
    const AdmittedRequest &work, RetryState &retryState, const ForwardOptions &options, CallerChannel &caller, const OptionsCompletion &complete) const
{
    for (std::uint32_t attempt = 0; attempt < maximumConnectAttempts; ++attempt) {
        this->rejectIfQuarantined(work);
        if (retryState.sentRequests == 0 && this->dependencies.memory.isExhausted()) {
            this->dependencies.counters.counter("lovageward_memory_rejections_total").add();
            throw Error(ResultCode::NoCapacity, RunState::NotRun, "there is no memory for the response to this request", memoryRetryAfter);
        }
        auto placement = this->awaitCapacity(work, retryState, caller);
        // The wait may have been long enough for other requests to crash their upstreams.
        this->rejectIfQuarantined(work);
        auto isRetry = retryState.sentRequests > 0;
        if (isRetry && !this->dependencies.retries.tryRetry(work.pool->id)) {
            throw Error(ResultCode::RetryBudgetExhausted,
                        RunState::NotRun,
                        "the retry budget is exhausted",
                        RetryAfterPolicy(this->dependencies.random).delayWhenFull());
        }
        try {
            auto attemptOptions = options;
            if (complete) {
                complete(attemptOptions, placement.upstream);
            }
            auto call = this->sendTo(work, placement, attemptOptions, retryState);
            return UpstreamAttempt { std::move(placement), std::move(call) };
        } catch (const Poco::Exception &error) {
            this->dependencies.health.recordFailure(placement.upstream.id, connectionFailureWeight);
            if (placement.observation) {
                placement.observation->recordFailure(true);
            }
            retryState.excludedUpstreams.push_back(placement.upstream.id);
            this->dependencies.events.write(
                "connect_failed", { { "request", work.request.id.value() }, { "upstream", placement.upstream.id.value() }, { "error", error.displayText() } });
        }
        if (this->dependencies.clock.now() >= work.deadline) {
            break;
        }
    }
    throw this->noCapacityError(PlacementResult(), "could not connect to any upstream");
}

std::unique_ptr<UpstreamCall>
UpstreamDialer::sendTo(const AdmittedRequest &work, const PlacedRun &placement, ForwardOptions options, RetryState &retryState) const
{
    auto now = this->dependencies.clock.now();
    auto connectDeadline = std::min(now + connectTimeout, work.deadline);
    auto call = std::make_unique<UpstreamCall>(this->dependencies.clock,
                                               this->dependencies.memory,
                                               placement.upstream.address,
                                               work.request.method,
                                               connectDeadline,
                                               this->dependencies.responseLimits);
    if (work.route->isStream) {
        call->forwardProgressively();
    }
    options.upstream = placement.upstream.id;
    options.team = work.team;
    // Read again after the handshake, so that the time left doesn't include the time that the handshake took.
    now = this->dependencies.clock.now();
    options.remainingTime = work.deadline - now;
    if (options.remainingTime <= Duration(0)) {
        throw Poco::TimeoutException("the deadline passed during the handshake");
    }
    call->send(this->dependencies.protocol.encodeRequestHead(work.request, options), work.request.body, work.deadline);
    ++retryState.sentRequests;
    auto rateLimit = this->dependencies.rateLimits.limit(placement.upstream);
    if (rateLimit) {
        this->dependencies.counters.counter("lovageward_sent_to_rate_limited_total").add();
    }
    this->dependencies.events.write("sent",
                                    { { "request", work.request.id.value() },
                                      { "upstream", placement.upstream.id.value() },
                                      { "arrival", retryState.sentRequests },
                                      { "runs_there", placement.load.runs },
                                      { "peak_tokens_there", placement.load.peakTokens },
                                      { "failure_share", placement.failureRate },
                                      { "limited", rateLimit.has_value() },
                                      { "token_us_there", placement.tokenTime.count() },
                                      { "expected_tokens", work.footprint.expectedOutputTokens },
                                      { "time_left_ms", std::chrono::duration_cast<milliseconds>(options.remainingTime).count() },
                                      { "config", work.config->version().value() },
                                      { "backup", options.backupAddress },
                                      { "continues", options.kvCache.has_value() } });
    return call;
}

}
