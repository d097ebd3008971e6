#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/ConnectionGuard.h>
#include <LibHttp/RequestHandler.h>
#include <LibHttp/ServerSession.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>

namespace Lovageward {

struct RequestServerSettings
{
    int maximumThreads = 4;
    /** Accepted connections that may wait for a thread. */
    int maximumQueuedConnections = 64;
    /** Time from the first byte of a request to its last one, and bound on each send. */
    Duration requestTimeout = seconds(10);
    /** Connections without a request are closed after this time. */
    Duration idleTimeout = seconds(10);
    /** False if each connection is closed after its first response. */
    bool keepsConnections = true;
    RequestSizeLimits limits;
};

/** HTTP/1.1 server for the rare requests of operators, load balancers and peers, from construction to destruction. */
class RequestServer
{
public:
    /** The handler must outlive the server. */
    RequestServer(const Clock &clock, RequestHandler &handler, const Poco::Net::ServerSocket &listener, const RequestServerSettings &settings);

    /** Ends idle connections and waits for the responses to running requests. */
    ~RequestServer();

    RequestServer(const RequestServer &) = delete;
    RequestServer &operator=(const RequestServer &) = delete;

    std::uint16_t port() const;

private:
    ConnectionGuard guard;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

}
