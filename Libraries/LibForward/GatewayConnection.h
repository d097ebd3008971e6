#pragma once

#include <LibCore/LatencyHistogram.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ForwardDependencies.h>
#include <LibForward/StreamForwarder.h>
#include <LibForward/UnaryForwarder.h>
#include <LibGateway/RequestAdmission.h>

#include <Poco/Net/TCPServerConnection.h>

#include <atomic>

namespace Lovageward {

/** State that all connections of a gateway share. */
struct GatewayContext
{
    GatewayContext(const ForwardDependencies &dependencies, std::size_t maximumConnections)
        : dependencies(dependencies)
        , maximumConnections(maximumConnections)
        , admission(dependencies.random, dependencies.outputLengths)
        , unaryForwarder(dependencies)
        , streamForwarder(dependencies)
        , unaryDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"false\"")
        , streamDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"true\"")
    {
    }

    const ForwardDependencies &dependencies;
    /** Largest number of connections that have a thread at the same time. */
    std::size_t maximumConnections;
    RequestAdmission admission;
    UnaryForwarder unaryForwarder;
    StreamForwarder streamForwarder;
    /** Time from the arrival of a request to the end of its response. */
    LatencyHistogram unaryDurations;
    LatencyHistogram streamDurations;
    std::atomic<std::size_t> activeRequests = 0;
    /** Connections that have sent no complete request yet. */
    std::atomic<std::size_t> newConnections = 0;
    std::atomic<std::size_t> acceptedConnections = 0;

    /** Asks the longest idle connection to close, because another one needs its place. */
    void closeLongestIdle() const
    {
        if (this->dependencies.memory.closeLongestIdle()) {
            this->dependencies.counters.counter("lovageward_idle_connections_closed_total").add();
            this->dependencies.events.write("idle_connection_closed",
                                            { { "reason", "a new connection needs its place" }, { "open", this->acceptedConnections.load() } });
        }
    }

    /** True while accepted connections wait because all threads are in use, not for the moment that a connection takes to get its thread. */
    bool hasWaitingConnections() const
    {
        return this->acceptedConnections > this->maximumConnections;
    }
};

/** Serves the requests of one caller's connection on one thread until it is closed. */
class GatewayConnection final : public Poco::Net::TCPServerConnection
{
public:
    GatewayConnection(const Poco::Net::StreamSocket &socket, GatewayContext &context);
    ~GatewayConnection() override;

    GatewayConnection(const GatewayConnection &) = delete;
    GatewayConnection &operator=(const GatewayConnection &) = delete;

    void run() override;

private:
    /** Handles one request. Returns true if the connection can be kept open, as do the two functions below. */
    bool handleRequest(ReceivedRequest &received, CallerChannel &caller);
    bool forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive);
    bool sendError(const Error &error, const RequestId &request, CallerChannel &caller, bool isKeepAlive);
    void rejectIfOutlastsShutdown(const AdmittedRequest &work) const;

    GatewayContext &context;
};

}
