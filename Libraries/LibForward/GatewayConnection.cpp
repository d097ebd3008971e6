#include <LibForward/GatewayConnection.h>

#include <LibForward/RunOutcomeRecorder.h>
#include <LibHttp/ErrorBody.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <memory>

namespace Lovageward {

namespace {

/** Time per output token on an engine under high load. Used to estimate whether a stream completes before the process shuts down. */
constexpr Duration timePerToken = milliseconds(11);
/** Time to the first token on such an engine. */
constexpr Duration timeToFirstToken = milliseconds(800);

/** Multiple of the target latency within which a unary request completes, including a retry at a second upstream. */
constexpr int unaryTargetLatencies = 3;

/** Retry-After while the node shuts down; short, because the retry reaches another node. */
constexpr Duration shutdownRetryAfter = milliseconds(50);

/** Retry-After of errors that don't specify one. */
constexpr Duration defaultRetryAfter = milliseconds(500);

HeaderFields errorFields(const Error &error)
{
    HeaderFields fields;
    fields.add("Content-Type", "application/json");
    auto status = httpStatus(error.code());
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    if (error.runState() == RunState::NotRun && (status == tooManyRequests || status == unavailable)) {
        auto delay = error.retryAfter() > Duration(0) ? error.retryAfter() : defaultRetryAfter;
        fields.add("Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(delay).count()));
    }
    return fields;
}

/**
 * Estimates when the response will be complete. A conservative estimate uses the request's deadline for every stream, and for every request that its
 * caller can't repeat.
 */
TimePoint expectedCompletion(const AdmittedRequest &work, TimePoint now, bool isConservative)
{
    auto isRepeatable = work.route->executionSemantics == ExecutionSemantics::Idempotent;
    if (!work.route->isStream) {
        return isConservative && !isRepeatable ? work.deadline : now + unaryTargetLatencies * work.route->targetLatency;
    }
    if (isConservative || !work.pool->engine) {
        // The length of a stream can't be predicted with certainty, and not at all without an engine's traits.
        return work.deadline;
    }
    return now + timeToFirstToken + std::chrono::duration_cast<Duration>(timePerToken * work.footprint.expectedOutputTokens);
}

/** Increments a counter for its lifetime. */
class CountedScope
{
public:
    explicit CountedScope(std::atomic<std::size_t> &counter) : counter(counter)
    {
        ++this->counter;
    }

    ~CountedScope()
    {
        --this->counter;
    }

    CountedScope(const CountedScope &) = delete;
    CountedScope &operator=(const CountedScope &) = delete;

private:
    std::atomic<std::size_t> &counter;
};

}

GatewayConnection::GatewayConnection(const Poco::Net::StreamSocket &socket, GatewayContext &context) : Poco::Net::TCPServerConnection(socket), context(context)
{
}

GatewayConnection::~GatewayConnection()
{
    this->context.places.remove();
}

void GatewayConnection::run()
{
    const auto &dependencies = this->context.dependencies;
    this->context.places.makePlaceForWaiting();
    CallerChannel caller({ dependencies.clock,
                           dependencies.config,
                           dependencies.drain,
                           dependencies.memory,
                           dependencies.counters,
                           dependencies.connectionLimits,
                           dependencies.listener },
                         this->socket());
    auto newConnection = std::make_unique<CountedScope>(this->context.newConnections);
    try {
        while (auto received = caller.readRequest()) {
            // Counted before the connection stops counting as new, so that a shutdown always sees one of both.
            CountedScope activeRequest(this->context.activeRequests);
            newConnection.reset();
            if (!this->handleRequest(*received, caller)) {
                break;
            }
        }
    } catch (const Error &error) {
        this->sendError(error, RequestId(), caller, false);
    } catch (const std::exception &error) {
        dependencies.events.write("connection_failed", { { "error", error.what() } });
    }
}

void GatewayConnection::rejectIfOutlastsShutdown(const AdmittedRequest &work) const
{
    const auto &drain = this->context.dependencies.drain;
    if (!drain.isDraining()) {
        return;
    }
    // Once the load balancer no longer routes to this node, a rejected caller reaches another node with its first retry, so the estimate is conservative.
    if (expectedCompletion(work, this->context.dependencies.clock.now(), drain.hasClosedIdleConnections()) > drain.endsAt()) {
        throw Error(ResultCode::ShuttingDown, RunState::NotRun, "the node shuts down before the response would be complete", shutdownRetryAfter);
    }
}

bool GatewayConnection::handleRequest(ReceivedRequest &received, CallerChannel &caller)
{
    const auto &dependencies = this->context.dependencies;
    auto isKeepAlive = received.head.isKeepAlive() && !dependencies.drain.isDraining() && !this->context.places.hasWaitingConnections();
    RequestId id;
    try {
        auto request = dependencies.protocol.decodeRequest(received.head, received.arrivedAt);
        id = request.id;
        request.body = std::move(received.body);
        request.hasBody = received.hasBody;
        auto work = this->context.admission.admit(std::move(request), dependencies.config.current());
        this->rejectIfOutlastsShutdown(work);
        dependencies.retries.countRequest(work.pool->id);
        dependencies.events.write("admitted",
                                  { { "request", id.value() },
                                    { "route", work.route->id.value() },
                                    { "team", work.team.value() },
                                    { "config", work.config->version().value() },
                                    { "prompt_tokens", work.request.promptTokens.value() },
                                    { "expected_tokens", work.footprint.expectedOutputTokens },
                                    { "prompt_parts", joinSharedPromptParts(work.request) },
                                    { "maximum_tokens", work.request.maximumOutputTokens.value() },
                                    { "time_left_ms", std::chrono::duration_cast<milliseconds>(work.deadline - dependencies.clock.now()).count() } });
        auto isComplete = this->forward(work, caller, isKeepAlive);
        auto &durations = work.route->isStream ? this->context.streamDurations : this->context.unaryDurations;
        durations.observe(dependencies.clock.now() - received.arrivedAt);
        return isComplete && isKeepAlive;
    } catch (const CallerDisconnected &) {
        dependencies.counters.counter("lovageward_callers_gone_total").add();
        dependencies.events.write("caller_gone", { { "request", id.value() } });
        return false;
    } catch (const Error &error) {
        return this->sendError(error, id, caller, isKeepAlive);
    } catch (const Poco::Exception &error) {
        return this->sendError(Error(ResultCode::Internal, RunState::Unknown, error.displayText()), id, caller, false);
    }
}

bool GatewayConnection::forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive)
{
    const auto &context = this->context;
    auto end = work.route->isStream ? context.streamForwarder.forward(work, caller, isKeepAlive) : context.unaryForwarder.forward(work, caller, isKeepAlive);
    if (end == ForwardOutcome::Complete) {
        return true;
    }
    auto counterName = work.route->isStream ? "lovageward_streams_cut_total" : "lovageward_answers_cut_total";
    context.dependencies.counters.counter(counterName).add();
    caller.abort();
    return false;
}

bool GatewayConnection::sendError(const Error &error, const RequestId &request, CallerChannel &caller, bool isKeepAlive)
{
    const auto &dependencies = this->context.dependencies;
    dependencies.counters.counter(fmt::format("lovageward_refusals_total{{code=\"{}\"}}", resultName(error.code()))).add();
    dependencies.events.write("refused",
                              { { "request", request.value() },
                                { "code", resultName(error.code()) },
                                { "run_state", runStateName(error.runState()) },
                                { "retry_after_ms", std::chrono::duration_cast<milliseconds>(error.retryAfter()).count() },
                                { "reason", error.what() } });
    auto fields = errorFields(error);
    if (!request.isEmpty()) {
        fields.add(dependencies.protocol.requestIdField(), request.value());
    }
    auto status = httpStatus(error.code());
    ReasonPhrase reason(Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)));
    ResponseHead head { status, std::move(reason), std::move(fields) };
    return caller.sendResponse(std::move(head), errorBody(error, request.value()), isKeepAlive) && isKeepAlive;
}

}
