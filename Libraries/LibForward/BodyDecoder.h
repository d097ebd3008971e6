#pragma once

#include <cstdint>
#include <string>

namespace Lovageward {

/** How the end of a message body is found. */
enum class BodyFraming {
    /** There is no body. */
    None,
    Length,
    Chunked,
    /** The body ends with its connection. */
    UntilClose,
};

/** Takes a message body out of received bytes, in pieces of any size. */
class BodyDecoder
{
public:
    enum class State {
        NeedsMore,
        Complete,
        /** The bytes can't be a body of this framing. */
        Malformed,
    };

    /** `length` counts for BodyFraming::Length only. */
    BodyDecoder(BodyFraming framing, std::uint64_t length);

    /** Moves body bytes from `received` to `body` and leaves what follows the body. */
    State decode(std::string &received, std::string &body);

    /** The connection has closed in order. */
    State end();

private:
    enum class ChunkPart {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    State decodeChunks(std::string &received, std::string &body);
    State decodeChunkLine(std::string &received);
    bool takeLine(std::string &received, std::string &line, State &failure) const;

    BodyFraming framing;
    std::uint64_t left;
    ChunkPart part = ChunkPart::Size;
    bool isComplete = false;
};

}
