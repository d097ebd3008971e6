#pragma once

#include <LibHttp/CallerRouter.h>
#include <LibHttp/ConnectionGuard.h>
#include <LibHttp/ConnectionPlaces.h>
#include <LibHttp/ServerSession.h>

#include <Poco/Net/TCPServerConnection.h>

#include <atomic>

namespace Lovageward {

/** State that the connections of one server share. */
struct CallerConnectionContext
{
    CallerServerParts parts;
    CallerServerSettings settings;
    DrainSignal drain;
    std::atomic<std::size_t> activeRequests = 0;
    ConnectionPlaces &places;
};

/** One connection of a caller, served by one thread until it closes. */
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, CallerConnectionContext &context, CallerRouter &router, ConnectionGuard &guard);

    ~CallerConnection() override;

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void run() override;

private:
    /** Answers one request. Returns true if the connection can carry another one. */
    bool serveRequest(ServerSession &session, GuardedConnection &guarded);

    /** Reads one request and answers it. Throws Error for a request that can't be accepted. */
    bool answerRequest(ServerSession &session, GuardedConnection &guarded, const std::string &requestId, TimePoint arrivedAt);

    void refuse(ServerSession &session, const std::string &requestId, const Error &error);

    CallerConnectionContext &context;
    CallerRouter &router;
    ConnectionGuard &guard;
};

}
