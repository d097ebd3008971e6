#pragma once

#include <LibHttp/CallerRouter.h>

#include <Poco/Net/TCPServerConnection.h>

#include <atomic>

namespace Lovageward {

/** State that the sessions of one server share. */
struct CallerSessionContext
{
    CallerServerParts parts;
    CallerServerSettings settings;
    DrainSignal drain;
    std::atomic<std::size_t> activeRequests = 0;
    std::atomic<bool> isClosing = false;
};

/** One connection of a caller, served by one thread until it closes. */
class CallerSession final : public Poco::Net::TCPServerConnection
{
public:
    CallerSession(const Poco::Net::StreamSocket &socket, CallerSessionContext &context, CallerRouter &router);

    void run() override;

private:
    /** Waits for the next request. Returns false if none comes. */
    bool waitForRequest(HttpConnection &connection) const;

    /** Answers one request. Returns true if the connection can carry another one. */
    bool serveRequest(HttpConnection &connection);

    /** Reads the rest of a refused request, so that closing the connection doesn't destroy the answer on its way. */
    void discardRest(HttpConnection &connection);

    CallerSessionContext &context;
    CallerRouter &router;
};

}
