#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/DeadlineSocket.h>

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

#include <istream>
#include <memory>
#include <string>

namespace Lovageward {

Poco::Timespan toTimespan(Duration time);

/**
 * POCO's client session on one connection, with a deadline for each call as a whole, however its bytes arrive. It knows no host, so POCO can't
 * reconnect and send a request twice by itself.
 *
 * All functions throw Poco::TimeoutException when the deadline has passed, and another Poco::Exception when the connection broke.
 */
class ClientSession final : public Poco::Net::HTTPClientSession
{
public:
    ClientSession(const Clock &clock, Poco::AutoPtr<DeadlineSocket> connected);

    /** Connects to "IP:port". */
    static std::unique_ptr<ClientSession> connect(const Clock &clock, const std::string &address, TimePoint deadline);

    /**
     * Sends the request and reads the response head. Throws Poco::Net::MessageException for a malformed or too large head, and
     * Poco::Net::ConnectionResetException if the connection ends within the head.
     */
    std::istream &exchange(Poco::Net::HTTPRequest &request, const std::string &body, Poco::Net::HTTPResponse &response, TimePoint deadline);

    /**
     * Appends what has arrived of a body, at least one byte. Returns false at the end of the body or of the connection. After a timeout the
     * reading may be continued: should POCO have read a part of a chunk's size by then, the rest isn't a chunk for it and ends the body.
     */
    bool readSome(std::istream &stream, std::string &target, TimePoint deadline);

    /**
     * Reads a body to its end. Throws Poco::DataException if it is longer than `maximumBytes` or malformed. POCO reports a connection that
     * closes within the body like the end of the body, so a chunked body counts as whole only if the connection stays open after it.
     */
    std::string readWhole(std::istream &stream, const Poco::Net::HTTPResponse &response, std::size_t maximumBytes, TimePoint deadline);

    /** True if the peer has closed an idle connection or sent something that nobody asked for. */
    bool isUnusable();

private:
    const Clock &clock;
    Poco::AutoPtr<DeadlineSocket> connection;
};

}
