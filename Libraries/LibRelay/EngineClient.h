#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <memory>
#include <optional>
#include <string>

namespace Lovageward {

/** A generation to be started on an engine. */
struct GenerationRequest
{
    RequestId request;
    GenerationId generation;
    /** "/v1/completions" or "/v1/chat/completions". */
    std::string path;
    /** JSON body as the caller sent it, with `stream` set to true. */
    std::string body;
    /** Higher runs first; derived from the class's target. */
    int priority = 0;
};

/** One event of an engine's stream, already decoded from the wire. */
struct EngineEvent
{
    enum class Kind {
        Token,
        /** The engine's end marker: the answer is whole. */
        End,
    };

    Kind kind = Kind::Token;
    /** Empty for an End that no token came before on the same connection. */
    RequestId request;
    GenerationId generation;
    /** Position of the token; for End the number of tokens of the whole answer. */
    TokenOffset offset;
    /** JSON object of the event as the engine sent it; empty for End. */
    std::string data;
    /** Text that the event adds to the answer. */
    std::string text;
};

/** One open connection that carries a generation's events. */
class EngineStream
{
public:
    virtual ~EngineStream() = default;

    /**
     * Next event, waiting until the deadline.
     * Throws Error(UpstreamSilent) when the deadline passes; the stream can be read again after it. Throws Error(UpstreamConnectionLost)
     * when the connection ends without an end marker, and Error(AnswerMismatch) for undecodable bytes.
     */
    virtual EngineEvent next(TimePoint deadline) = 0;
};

/** Talks to engines at "IP:port" addresses. Safe to call from several threads. */
class EngineClient
{
public:
    virtual ~EngineClient() = default;

    /**
     * Starts a generation. Throws Error(UpstreamRefused, NotRun) if the engine refused before starting,
     * Error(UpstreamUnavailable, NotRun) if nothing was written, and Error(UpstreamConnectionLost, UpstreamSilent, UpstreamError
     * or AnswerMismatch, Unknown) otherwise.
     */
    virtual std::unique_ptr<EngineStream> start(const std::string &address, const GenerationRequest &request, TimePoint deadline) = 0;

    /** Opens a new connection to a running or finished generation, from an offset. Throws Error(GenerationLost) if it is unknown. */
    virtual std::unique_ptr<EngineStream> resume(const std::string &address, const GenerationId &generation, TokenOffset from, TimePoint deadline) = 0;

    /** Cancels a generation. Failures are ignored after the deadline, since the engine may be gone. */
    virtual void cancel(const std::string &address, const GenerationId &generation, TimePoint deadline) = 0;
};

}
