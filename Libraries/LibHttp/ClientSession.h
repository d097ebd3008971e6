#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/DeadlineSocket.h>
#include <LibHttp1/BodyDecoder.h>
#include <LibHttp1/MessageHead.h>

#include <Poco/AutoPtr.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

Poco::Timespan toTimespan(Duration time);

/**
 * Client side of one HTTP/1.1 connection, with a deadline for each call as a whole, however its bytes arrive. It never connects again by itself, so a request
 * isn't sent twice.
 *
 * All functions throw Poco::TimeoutException when the deadline has passed, Poco::Net::MessageException or Poco::DataException for bytes that aren't a response
 * within the limits, and another Poco::Exception when the connection broke, within a head or a body as well.
 */
class ClientSession
{
public:
    ClientSession(const Clock &clock, Poco::AutoPtr<DeadlineSocket> connected);

    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    /** Connects to "IP:port". */
    static std::unique_ptr<ClientSession> connect(const Clock &clock, const std::string &address, TimePoint deadline);

    /** Sends the request, to whose head the framing is added, and reads the head of the final response. */
    ResponseHead exchange(RequestHead request, std::string_view body, TimePoint deadline);

    /** Appends what has arrived of the body, at least one byte. Returns false at the end of the body. After a timeout the reading may be continued. */
    bool readSome(std::string &target, TimePoint deadline);

    /** Reads a body to its end. Throws Poco::DataException if it is longer than `maximumBytes`. */
    std::string readWhole(std::size_t maximumBytes, TimePoint deadline);

    /** True if the connection can carry another request once the body of the last response has been read. */
    bool isKeptAlive() const
    {
        return this->keepsConnection;
    }

    /** True if a body is unread, or the peer has closed the connection or sent bytes that belong to no request. */
    bool isUnusable();

private:
    ResponseHead readHead(TimePoint deadline);
    /** Sends all bytes. */
    void write(std::string_view bytes);
    /** Receives at least one byte. Returns false if the peer has closed the connection. */
    bool receive();

    const Clock &clock;
    Poco::AutoPtr<DeadlineSocket> connection;
    Poco::Net::StreamSocket socket;
    std::string received;
    std::optional<BodyDecoder> decoder;
    bool isBodyComplete = true;
    bool keepsConnection = true;
};

}
