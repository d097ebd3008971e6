#pragma once

#include <cstddef>
#include <cstdint>

namespace Lovageward {

/**
 * Limits in bytes on a response of an upstream. They keep an upstream that never stops sending from exhausting the node's memory or bandwidth. When
 * a limit is exceeded, the connection is closed and the call fails. Bytes after the end of a response are never read, because each call has its own
 * connection.
 */
struct ResponseLimits
{
    /** Status line and header fields. */
    std::size_t headBytes = 65'536;
    /** Sum of all interim (1xx) heads before the final one. */
    std::size_t interimBytes = 16'384;
    /** One line of the chunked framing: a chunk size or a trailer field. */
    std::size_t lineBytes = 4'096;
    /** Sum of all trailer fields. */
    std::size_t trailerBytes = 16'384;
    /** Body bytes that are buffered; a longer body is forwarded as it arrives. */
    std::size_t bufferedBodyBytes = 262'144;
    /** Whole body, including that of a stream. */
    std::uint64_t bodyBytes = 67'108'864;
    /** One event of a stream, including the comments before it. */
    std::size_t eventBytes = 262'144;

    bool operator==(const ResponseLimits &) const = default;
};

}
