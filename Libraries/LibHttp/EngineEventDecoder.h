#pragma once

#include <LibRelay/EngineClient.h>
#include <LibRelay/SseReader.h>

namespace Lovageward {

/** Decodes the server-sent events of one engine connection. */
class EngineEventDecoder
{
public:
    /** `from` is the offset that the connection was opened at. */
    EngineEventDecoder(GenerationId generation, TokenOffset from) : generation(std::move(generation)), nextOffset(from.value())
    {
    }

    /** Throws Error(AnswerMismatch) for data that isn't an event of the protocol, and Error(UpstreamError) for an error event. */
    EngineEvent decode(const SseEvent &received);

private:
    EngineEvent decodeEnd(const SseEvent &received) const;
    EngineEvent decodeToken(const SseEvent &received);

    GenerationId generation;
    /** Request id of the last token; empty before it. */
    RequestId request;
    std::uint64_t nextOffset;
};

}
