#pragma once

#include <LibHttp/ByteChannel.h>

#include <memory>
#include <string>
#include <string_view>

namespace Lovageward {

enum class ReadStatus {
    /** The wanted bytes are there. */
    Ready,
    /** The message is over, or the peer closed the connection between messages. */
    Ended,
    /** The deadline passed; reading may be continued later. */
    TimedOut,
    /** The peer closed the connection within a message. */
    Truncated,
    TooLarge,
    Malformed,
};

/**
 * Reads and writes HTTP messages on a connection with an exact deadline for each step, which POCO's stream classes don't offer: they bound
 * each receive only, so a peer that sends one byte at a time is never late. Message heads are parsed by POCO from the collected bytes.
 */
class HttpConnection
{
public:
    explicit HttpConnection(std::unique_ptr<ByteChannel> byteChannel) : channel(std::move(byteChannel))
    {
    }

    /** Waits for the first byte of a message without taking it. */
    ReadStatus waitForMessage(TimePoint deadline);

    /** Reads up to the empty line that ends a message head. `head` gets it including that line. */
    ReadStatus readHead(std::string &head, std::size_t maximumBytes, TimePoint deadline);

    /** Reads one line without its end. */
    ReadStatus readLine(std::string &line, std::size_t maximumBytes, TimePoint deadline);

    /** Appends at least 1 and at most `maximumBytes` bytes to `target`. Ended means that the peer closed the connection. */
    ReadStatus readSome(std::string &target, std::size_t maximumBytes, TimePoint deadline);

    bool write(std::string_view bytes, TimePoint deadline)
    {
        return this->channel->send(bytes, deadline);
    }

    bool isClosedByPeer()
    {
        return this->channel->isClosedByPeer();
    }

    /** True if the connection carries unexpected bytes or was closed, so that it can't be used for another message. */
    bool isStale()
    {
        return !this->buffer.empty() || this->channel->isReadable();
    }

private:
    /** Receives more bytes into the buffer. */
    ReadStatus fill(TimePoint deadline);

    std::unique_ptr<ByteChannel> channel;
    std::string buffer;
};

}
