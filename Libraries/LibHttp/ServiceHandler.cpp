#include <LibHttp/ServiceHandler.h>

#include <algorithm>
#include <optional>

namespace Lovageward {

namespace {

PlacementOutcome outcomeOf(ResultCode code)
{
    switch (code) {
    case ResultCode::UpstreamRefused:
        return PlacementOutcome::Refused;
    case ResultCode::UpstreamUnavailable:
    case ResultCode::UpstreamConnectionLost:
    case ResultCode::UpstreamSilent:
        return PlacementOutcome::ConnectionFailed;
    default:
        return PlacementOutcome::Failed;
    }
}

}

ServiceHandler::ServiceHandler(const CallerServerParts &parts, const CallerServerSettings &settings, Waiter &waiter)
    : parts(parts)
    , settings(settings)
    , waiter(waiter)
    , backoff(parts.random, settings.relay.backoffBase, settings.relay.backoffCap)
    , retries(parts.counters.counter("lovageward_service_retries_total"))
    , replays(parts.counters.counter("lovageward_service_replays_total"))
{
}

WorkClass ServiceHandler::classOf(const WorkClassId &id) const
{
    auto workClass = this->parts.configuration.workClass(id);
    if (!workClass) {
        throw Error(ResultCode::UnknownWorkClass, RunState::NotRun, "no such work class: " + id.value());
    }
    if (workClass->kind != CallKind::Service) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "the work class is not a service: " + id.value());
    }
    return *workClass;
}

void ServiceHandler::handle(const WorkClassId &id, const Team &team, const CallerRequest &request, ResponseWriter &response)
{
    auto workClass = this->classOf(id);
    WorkItem item;
    item.request = RequestId(response.request());
    item.team = team.id;
    item.workClass = workClass.id;
    item.kind = CallKind::Service;
    item.pool = workClass.pool;
    item.arrivedAt = request.arrivedAt;
    item.queueDeadline = request.arrivedAt + this->settings.serviceLimit;
    item.isOwnRegionOnly = workClass.isOwnRegionOnly;
    ServiceCall call { item.request, workClass.operation, request.body, false };
    if (workClass.isRepeatable) {
        auto answer = this->callWithRetries(item, call, item.queueDeadline);
        response.writeWhole(answer.status, "application/json", answer.body);
        return;
    }
    auto answer = this->callAtMostOnce(item, call, request.header("Idempotency-Key"), item.queueDeadline);
    HeaderFields fields;
    if (answer.isReplay) {
        this->replays.add();
        fields.add("X-Idempotent-Replay", "true");
    }
    response.writeWhole(answer.status, "application/json", answer.body, fields);
}

ServiceAnswer ServiceHandler::callOnce(WorkItem &item, const ServiceCall &call, TimePoint deadline)
{
    auto placement = this->parts.dispatcher.acquire(item);
    PlacementGuard guard(this->parts.dispatcher, placement.id);
    item.excluded.push_back(placement.upstream);
    try {
        auto answer = this->parts.services.call(placement.address, call, deadline);
        guard.setOutcome(PlacementOutcome::Completed);
        return answer;
    } catch (const Error &error) {
        guard.setOutcome(outcomeOf(error.code()));
        throw;
    }
}

ServiceAnswer ServiceHandler::callWithRetries(WorkItem item, const ServiceCall &call, TimePoint deadline)
{
    auto runState = RunState::NotRun;
    for (unsigned attempt = 1;; ++attempt) {
        try {
            return this->callOnce(item, call, deadline);
        } catch (const Error &error) {
            // An earlier attempt may have run even if this one did not.
            runState = error.runState() == RunState::NotRun ? runState : error.runState();
            auto code = static_cast<int>(error.code());
            bool isFaultOfUpstream = code >= static_cast<int>(ResultCode::UpstreamUnavailable) && code < static_cast<int>(ResultCode::CallStillRunning);
            auto retryAt = this->parts.clock.now() + this->backoff.delay(attempt - 1);
            if (!isFaultOfUpstream || attempt >= this->settings.maximumServiceAttempts || retryAt >= deadline) {
                throw Error(error.code(), runState, error.what(), error.retryAfter());
            }
            this->retries.add();
            item.isRetry = true;
            this->waiter.waitUntil(retryAt);
        }
    }
}

RecordedAnswer ServiceHandler::callAtMostOnce(const WorkItem &item, ServiceCall call, const std::string &key, TimePoint deadline)
{
    // A pooled connection may have gone silent; a new one has just shown that its path works.
    call.needsNewConnection = true;
    ClaimedCall claimed { item.team, item.request, item.workClass, key, call.body, deadline };
    return this->parts.atMostOnce.run(claimed, [&] {
        auto placed = item;
        auto answer = this->callOnce(placed, call, deadline);
        return RecordedAnswer { answer.status, answer.body, false };
    });
}

}
