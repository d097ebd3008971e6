#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <memory>
#include <optional>
#include <string>

namespace Lovageward {

/** Request that starts a generation on an engine. */
struct GenerationRequest
{
    RequestId request;
    GenerationId generation;
    /** "/v1/completions" or "/v1/chat/completions". */
    std::string path;
    /** JSON body as the caller sent it, with `stream` set to true. */
    std::string body;
    /** Engines run higher priorities first. Derived from the target of the work class. */
    int priority = 0;
};

/** One decoded event of an engine's stream. */
struct EngineEvent
{
    enum class Kind {
        Token,
        /** End marker of the engine; the answer is complete. */
        End,
    };

    Kind kind = Kind::Token;
    /** Empty for an End that no token precedes on the same connection. */
    RequestId request;
    GenerationId generation;
    /** Position of the token; for End the number of tokens of the whole answer. */
    TokenOffset offset;
    /** JSON object of the event as the engine sent it; empty for End. */
    std::string data;
    /** Text that the event adds to the answer. */
    std::string text;
};

/** An open connection that delivers the events of a generation. */
class EngineStream
{
public:
    virtual ~EngineStream() = default;

    /**
     * Returns the next event, waiting for it until the deadline.
     * Throws Error(UpstreamSilent) when the deadline passes; the stream can be read again after it. Throws Error(UpstreamConnectionLost)
     * when the connection ends without an end marker, and Error(AnswerMismatch) for undecodable bytes.
     */
    virtual EngineEvent next(TimePoint deadline) = 0;
};

/** Client of engines at "IP:port" addresses. Thread-safe. */
class EngineClient
{
public:
    virtual ~EngineClient() = default;

    /**
     * Starts a generation. Throws Error(UpstreamRefused, NotRun) if the engine refused before starting,
     * Error(UpstreamUnavailable, NotRun) if no byte of the request was written, and Error(UpstreamConnectionLost, UpstreamSilent, UpstreamError
     * or AnswerMismatch, Unknown) otherwise.
     */
    virtual std::unique_ptr<EngineStream> start(const std::string &address, const GenerationRequest &request, TimePoint deadline) = 0;

    /** Opens a new connection to a running or finished generation, from an offset. Throws Error(GenerationLost) if the engine doesn't know it. */
    virtual std::unique_ptr<EngineStream> resume(const std::string &address, const GenerationId &generation, TokenOffset from, TimePoint deadline) = 0;

    /** Cancels a generation. Failures are ignored after the deadline, since the engine may be gone. */
    virtual void cancel(const std::string &address, const GenerationId &generation, TimePoint deadline) = 0;
};

}
