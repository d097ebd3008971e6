#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Lovageward {

/** How the end of a message body is determined (RFC 9112, section 6). */
enum class BodyFraming {
    /** The message has no body. */
    None,
    ContentLength,
    Chunked,
    /** The body ends when the connection is closed. */
    UntilClose,
};

/** Limits in bytes on the framing of a chunked body. */
struct FramingLimits
{
    /** One chunk size line or trailer field. */
    std::size_t lineBytes = 4'096;
    /** Sum of all trailer fields. */
    std::size_t trailerBytes = 16'384;
};

/** Incrementally decodes a message body from received bytes, however they are split. */
class BodyDecoder
{
public:
    enum class State {
        NeedsMoreData,
        Complete,
        /** The bytes violate the framing. */
        Malformed,
        /** A framing line or the trailer exceeds its limit. */
        LimitExceeded,
    };

    /** `length` is the body length in bytes; used with BodyFraming::ContentLength only. */
    BodyDecoder(BodyFraming framing, std::uint64_t length, const FramingLimits &limits = {});

    /** Moves body bytes from `received` to `body`. Bytes after the end of the body stay in `received`. */
    State decode(std::string &received, std::string &body);

    /** To be called when the peer has closed the connection without an error. Returns Malformed if the body is incomplete. */
    State handleConnectionClosed();

private:
    enum class ChunkState {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    State decodeChunks(std::string &received, std::string &body);
    State decodeChunkLine(std::string &received);
    bool extractLine(std::string &received, std::string &line, State &failure) const;

    BodyFraming framing;
    std::uint64_t remainingBytes;
    FramingLimits limits;
    std::size_t trailerBytesRead = 0;
    ChunkState chunkState = ChunkState::Size;
    bool isComplete = false;
};

}
