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
    explicit GatewayContext(const ForwardDependencies &dependencies)
        : dependencies(dependencies)
        , admission(dependencies.random, dependencies.outputLengths)
        , unaryForwarder(dependencies)
        , streamForwarder(dependencies)
        , unaryDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"false\"")
        , streamDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"true\"")
    {
    }

    const ForwardDependencies &dependencies;
    RequestAdmission admission;
    UnaryForwarder unaryForwarder;
    StreamForwarder streamForwarder;
    /** Time from the arrival of a request to the end of its response. */
    LatencyHistogram unaryDurations;
    LatencyHistogram streamDurations;
    std::atomic<std::size_t> activeRequests = 0;
    /** Connections that have sent no complete request yet. */
    std::atomic<std::size_t> newConnections = 0;
};

/** Serves the requests of one caller's connection on one thread until it is closed. */
class GatewayConnection final : public Poco::Net::TCPServerConnection
{
public:
    GatewayConnection(const Poco::Net::StreamSocket &socket, GatewayContext &context);

    void run() override;

private:
    /** Handles one request. Returns true if the connection can be kept open, as do the two functions below. */
    bool handleRequest(const ReceivedRequest &received, CallerChannel &caller);
    bool forward(const AdmittedRequest &work, CallerChannel &caller, bool isKeepAlive);
    bool sendError(const Error &error, const RequestId &request, CallerChannel &caller, bool isKeepAlive);
    void rejectIfOutlastsShutdown(const AdmittedRequest &work) const;

    GatewayContext &context;
};

}
