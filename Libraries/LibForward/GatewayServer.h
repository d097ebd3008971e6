#pragma once

#include <LibForward/GatewayConnection.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Lovageward {

/** Accepts caller connections and serves each on a pooled thread. */
class GatewayServer
{
public:
    GatewayServer(const ForwardDependencies &dependencies, std::string listenAddress, int maximumConnections);

    /** Joins the connection threads. To be called when no request is active. */
    ~GatewayServer();

    GatewayServer(const GatewayServer &) = delete;
    GatewayServer &operator=(const GatewayServer &) = delete;

    /** Starts accepting connections. Throws Error(InvalidSettings) if the address can't be bound. */
    void start();

    /** Port that the server listens on; 0 if it isn't started. */
    std::uint16_t port() const;

    /** Number of requests that are being served. */
    std::size_t activeRequests() const
    {
        return this->context.activeRequests;
    }

    /** True while requests are being served, or accepted connections may still send their first request. */
    bool hasUnfinishedWork() const
    {
        return this->context.activeRequests > 0 || this->context.newConnections > 0;
    }

    /** Stops accepting connections. Open ones stay. */
    void stopAccepting();

private:
    std::string listenAddress;
    GatewayContext context;
    Poco::ThreadPool threadPool;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

}
