#pragma once

#include <LibCore/Backoff.h>
#include <LibCore/MemoryReservation.h>
#include <LibHttp/CallerRequest.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/ResponseWriter.h>
#include <LibRelay/CompletionRequestParser.h>
#include <LibRelay/GenerationRelay.h>

namespace Lovageward {

/** Answers requests for generations. Used from all connection threads. */
class CompletionHandler
{
public:
    CompletionHandler(const CallerServerParts &parts, const CallerServerSettings &settings, const DrainSignal &drain, Waiter &waiter);

    /** Starts a generation, or continues one if the request has a Last-Event-ID. Throws Error for requests that can't be started. */
    void handle(CompletionKind kind, const Team &team, const CallerRequest &request, ResponseWriter &response);

private:
    /** Throws Error(NoCapacity) if the memory isn't there. */
    void reserve(MemoryReservation &memory, std::uint64_t bytes) const;
    /** Reserves `memory` for the parsed form before it parses the body. */
    CompletionRequest parse(CompletionKind kind, const CallerRequest &request, MemoryReservation &memory) const;
    void start(const CompletionRequest &completion, const WorkClass &workClass, RelayTask task, ResponseWriter &response);
    void resume(CompletionKind kind, const Team &team, const CallerRequest &request, ResponseWriter &response);
    WorkClass classOf(const CompletionRequest &completion) const;
    RelayTask taskFor(const CompletionRequest &completion, const WorkClass &workClass, const Team &team, const CallerRequest &request) const;

    CallerServerParts parts;
    const CallerServerSettings &settings;
    CompletionRequestParser parser;
    ResumeTokenCodec tokens;
    RelayCounters counters;
    RelayDependencies relayParts;
};

}
