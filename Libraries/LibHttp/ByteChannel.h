#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace Lovageward {

/** A connected two-way byte stream with deadlines. Used by one thread at a time. */
class ByteChannel
{
public:
    virtual ~ByteChannel() = default;

    /** Waits for bytes. Returns their count, 0 if the peer has closed or reset the connection, and nothing if the deadline passed. */
    virtual std::optional<std::size_t> receive(char *buffer, std::size_t size, TimePoint deadline) = 0;

    /** Sends all bytes. Returns false if the connection broke or the deadline passed; some bytes may have been sent then. */
    virtual bool send(std::string_view bytes, TimePoint deadline) = 0;

    /** True if the peer has closed or reset the connection. Doesn't wait. */
    virtual bool isClosedByPeer() = 0;

    /** True if bytes or the end of the stream can be received at once. */
    virtual bool isReadable() = 0;
};

}
