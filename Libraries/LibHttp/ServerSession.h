#pragma once

#include <LibCore/MinimumDataRate.h>
#include <LibHttp/ConnectionMemory.h>
#include <LibHttp1/MessageFraming.h>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** Limits on one request. */
struct RequestSizeLimits
{
    std::size_t headBytes = 16'384;
    std::size_t headerFields = 64;
    std::size_t bodyBytes = 1'048'576;
};

/**
 * Server side of one HTTP/1.1 connection on a blocking socket, whose timeouts bound each receive and send. A connection that breaks or times out counts as
 * closed by its peer.
 */
class ServerSession
{
public:
    /** A body has to arrive at the given rate at least, and its memory is reserved before it is received. */
    ServerSession(const Poco::Net::StreamSocket &connected, ConnectionMemory &memory, const Clock &clock, const DataRateLimit &bodyRate);

    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    /** Waits for the first byte of the next request. Returns false if the peer closed the connection or the time passed. */
    bool awaitRequest(const Poco::Timespan &idleTime);

    /** Returns nothing if the peer closed the connection. Throws Error(HeadersTooLarge), Error(BadRequest), or Error(NoCapacity) if it was released. */
    std::optional<RequestHead> readHead(const RequestSizeLimits &limits);

    /**
     * Reads the whole body, after an interim response if the peer waits for one. Returns nothing if the peer closed the connection. Throws Error(BodyTooLarge),
     * Error(BadRequest), Error(RequestTooSlow), or Error(NoCapacity) if there is no memory or the connection was released.
     */
    std::optional<std::string> readBody(const RequestHead &head, const RequestSizeLimits &limits);

    /** Sends all bytes. Returns false if the peer closed the connection. */
    bool write(std::string_view bytes);

    /** True if the peer has closed the connection. Doesn't wait. */
    bool isClosedByPeer();

    /** Closes the connection after what was written, without an end that a response without length could be taken for. */
    void shutDown();

    /** Ends the sending side and reads the rest of a request for a moment: a reset for unread bytes could destroy the response on its way. */
    void discardRest();

private:
    /** Receives at least one byte, unless the peer closes the connection first, in which case it returns false. */
    bool receive();

    Poco::Net::StreamSocket socket;
    ConnectionMemory &memory;
    const Clock &clock;
    DataRateLimit bodyRate;
    std::string received;
};

}
