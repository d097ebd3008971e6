#pragma once

#include <LibCore/EventThrottle.h>
#include <LibCore/LatencyHistogram.h>
#include <LibForward/CallerChannel.h>
#include <LibForward/ForwardDependencies.h>
#include <LibForward/StreamForwarder.h>
#include <LibForward/UnaryForwarder.h>
#include <LibGateway/RequestAdmission.h>
#include <LibHttp/ConnectionPlaces.h>

#include <Poco/Net/TCPServerConnection.h>

#include <atomic>

namespace Lovageward {

/** State that all connections of a gateway share. */
struct GatewayContext final : public PlaceObserver
{
    GatewayContext(const ForwardDependencies &dependencies, std::size_t maximumConnections)
        : dependencies(dependencies)
        , admission(dependencies.random, dependencies.outputLengths)
        , unaryForwarder(dependencies)
        , streamForwarder(dependencies)
        , unaryDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"false\"")
        , streamDurations(dependencies.counters, "lovageward_answer_ms", "stream=\"true\"")
        , idleReleases(dependencies.clock)
        , unfinishedReleases(dependencies.clock)
        , refusals(dependencies.clock)
        , places(dependencies.memory, dependencies.listener, maximumConnections, *this)
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
    EventThrottle idleReleases;
    EventThrottle unfinishedReleases;
    EventThrottle refusals;
    ConnectionPlaces places;

    void connectionReleased(ClientWait released, std::size_t open) override
    {
        auto isIdle = released == ClientWait::Idle;
        this->dependencies.counters.counter(isIdle ? "lovageward_idle_connections_closed_total" : "lovageward_unfinished_requests_closed_total").add();
        auto &throttle = isIdle ? this->idleReleases : this->unfinishedReleases;
        if (auto count = throttle.count()) {
            this->dependencies.events.write(isIdle ? "idle_connection_closed" : "unfinished_request_closed",
                                            { { "reason", "a new connection needs its place" }, { "open", open }, { "closed", *count } });
        }
    }

    void connectionRefused(std::size_t open) override
    {
        this->dependencies.counters.counter("lovageward_connections_refused_total").add();
        if (auto count = this->refusals.count()) {
            this->dependencies.events.write("connection_refused", { { "reason", "too many open connections" }, { "open", open }, { "refused", *count } });
        }
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
