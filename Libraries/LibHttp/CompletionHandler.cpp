#include <LibHttp/CompletionHandler.h>

#include <LibHttp/ConnectionMemory.h>
#include <LibHttp/JsonAnswerSink.h>
#include <LibHttp/SseAnswerSink.h>
#include <LibRelay/JsonFootprint.h>

#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Bytes of a body's copy, and of its parsed form, that the fixed charge of a connection covers. */
constexpr std::uint64_t unreservedBytes = 16'384;

/** Engines run higher priorities first: a class with a shorter target, such as a short verdict, goes before a long story. */
int priorityOf(const WorkClass &workClass)
{
    // A gap target is a property of a running stream and says nothing about urgency at the start.
    if (workClass.target == TargetKind::TokenGap) {
        return 1;
    }
    if (workClass.targetTime <= seconds(2)) {
        return 3;
    }
    return workClass.targetTime <= seconds(15) ? 2 : workClass.targetTime <= seconds(60) ? 1 : 0;
}

TimePoint queueDeadline(const WorkClass &workClass, Duration queueLimit, TimePoint arrivedAt)
{
    // Work that is placed after its completion target is of no more use to the caller.
    bool endsWithTarget = workClass.target == TargetKind::Completion;
    return arrivedAt + (endsWithTarget ? std::min(queueLimit, workClass.targetTime) : queueLimit);
}

}

CompletionHandler::CompletionHandler(const CallerServerParts &parts, const CallerServerSettings &settings, const DrainSignal &drain, Waiter &waiter)
    : parts(parts)
    , settings(settings)
    , parser(settings.maximumBodyBytes)
    , tokens(settings.resumeKey)
    , counters(parts.counters)
    , relayParts { parts.clock, parts.random, parts.logSink, parts.engines, waiter, drain, this->tokens, this->counters, parts.handover }
{
}

void CompletionHandler::handle(CompletionKind kind, const Team &team, const CallerRequest &request, ResponseWriter &response)
{
    if (request.head.fields.has("Last-Event-ID")) {
        this->resume(kind, team, request, response);
        return;
    }
    // The body that the engine receives is a copy.
    MemoryReservation copyMemory(this->parts.memory, MemoryPurpose::Body);
    this->reserve(copyMemory, request.body.size());
    MemoryReservation parsedMemory(this->parts.memory, MemoryPurpose::Body);
    auto completion = this->parse(kind, request, parsedMemory);
    auto workClass = this->classOf(completion);
    auto task = this->taskFor(completion, workClass, team, request);
    // The parsed form isn't needed while the request waits and runs.
    completion.body.reset();
    parsedMemory.reset();
    this->start(completion, workClass, std::move(task), response);
}

void CompletionHandler::reserve(MemoryReservation &memory, std::uint64_t bytes) const
{
    if (bytes > unreservedBytes && !memory.tryGrow(bytes)) {
        this->parts.counters.counter("lovageward_memory_rejections_total").add();
        throw Error(ResultCode::NoCapacity, RunState::NotRun, "there is no memory to read the body of this request", memoryRetryAfter);
    }
}

CompletionRequest CompletionHandler::parse(CompletionKind kind, const CallerRequest &request, MemoryReservation &memory) const
{
    auto footprint = measureJson(request.body);
    if (footprint.values > this->settings.maximumJsonValues) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body has more than {} JSON values", this->settings.maximumJsonValues));
    }
    this->reserve(memory, footprint.bytes);
    return this->parser.parse(kind, request.body, request.header("X-Work-Class"));
}

WorkClass CompletionHandler::classOf(const CompletionRequest &completion) const
{
    auto workClass = this->parts.configuration.workClass(completion.workClass);
    if (!workClass) {
        throw Error(ResultCode::UnknownWorkClass, RunState::NotRun, "no such work class: " + completion.workClass.value());
    }
    if (workClass->kind != CallKind::Generation) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "the work class is a service; use /v1/services/" + completion.workClass.value());
    }
    const auto &model = completion.modelField;
    if (!model.empty() && model != workClass->id.value() && model != workClass->model.value()) {
        throw Error(ResultCode::UnknownModel, RunState::NotRun, "the work class has no model " + model);
    }
    return *workClass;
}

RelayTask CompletionHandler::taskFor(const CompletionRequest &completion, const WorkClass &workClass, const Team &team, const CallerRequest &request) const
{
    RelayTask task;
    task.item.team = team.id;
    task.item.workClass = workClass.id;
    task.item.kind = CallKind::Generation;
    task.item.model = workClass.model;
    task.item.pool = workClass.pool;
    task.item.prefixHash = completion.prefixHash;
    task.item.promptTokens = completion.promptTokens;
    task.item.arrivedAt = request.arrivedAt;
    task.item.queueDeadline = queueDeadline(workClass, this->settings.queueLimit, request.arrivedAt);
    task.item.isOwnRegionOnly = workClass.isOwnRegionOnly;
    task.path = completion.path();
    task.body = completion.engineBody(workClass.model);
    task.priority = priorityOf(workClass);
    // An answer that isn't streamed reaches the caller as a whole in any case, so it can survive a restart as well.
    task.isHeld = workClass.delivery == DeliveryMode::Hold || !completion.isStreamed;
    return task;
}

void CompletionHandler::start(const CompletionRequest &completion, const WorkClass &workClass, RelayTask task, ResponseWriter &response)
{
    task.item.request = RequestId(response.request());
    SseAnswerSink streamed(response);
    JsonAnswerSink whole(response, completion.kind, workClass.id.value(), completion.promptTokens, this->parts.clock.wallNow());
    AnswerSink &sink = completion.isStreamed ? static_cast<AnswerSink &>(streamed) : whole;
    task.item.isCallerGone = [&sink] { return sink.isCallerGone(); };
    GenerationRelay(this->relayParts, this->parts.dispatcher, this->settings.relay, this->settings.resumeTokenLifetime, sink).run(task);
}

void CompletionHandler::resume(CompletionKind kind, const Team &team, const CallerRequest &request, ResponseWriter &response)
{
    auto point = this->tokens.parseEventId(request.header("Last-Event-ID"), this->parts.clock.wallNow());
    if (point.token.team != team.id) {
        throw Error(ResultCode::Forbidden, RunState::NotRun, "the resume token belongs to another team");
    }
    // A reconnecting event source may send no body; then the answer is streamed.
    auto isStreamed = true;
    if (!request.body.empty()) {
        MemoryReservation parsedMemory(this->parts.memory, MemoryPurpose::Body);
        isStreamed = this->parse(kind, request, parsedMemory).isStreamed;
    }
    if (!isStreamed && point.from.value() > 0) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "an answer can be continued in its middle only with \"stream\": true");
    }
    SseAnswerSink streamed(response);
    JsonAnswerSink whole(response, kind, point.token.workClass.value(), TokenCount(0), this->parts.clock.wallNow());
    AnswerSink &sink = isStreamed ? static_cast<AnswerSink &>(streamed) : whole;
    auto workClass = this->parts.configuration.workClass(point.token.workClass);
    bool isHeld = !isStreamed || (workClass && workClass->delivery == DeliveryMode::Hold);
    GenerationRelay(this->relayParts, this->parts.dispatcher, this->settings.relay, this->settings.resumeTokenLifetime, sink).resume(point, isHeld);
}

}
