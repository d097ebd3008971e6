#include <LibForward/GatewayServer.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Connections that may wait to be accepted. A full backlog drops connection requests, whose retransmission delays the caller by seconds. */
constexpr int listenBacklog = 1024;

/** Stack size of a connection's thread, equal to that of the completion API's threads. */
constexpr int threadStackBytes = 128 * 1024;
constexpr int idleThreads = 8;
constexpr int threadIdleSeconds = 20;

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(GatewayContext &context) : context(context)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new GatewayConnection(socket, this->context);
    }

private:
    GatewayContext &context;
};

/** Bounds the accepted connections. It is made for clients that open many connections and leave them idle. */
class ConnectionFilter final : public Poco::Net::TCPServerConnectionFilter
{
public:
    ConnectionFilter(GatewayContext &context, std::size_t maximumConnections)
        : context(context)
        , maximumConnections(maximumConnections)
        , maximumAccepted(maximumConnections + static_cast<std::size_t>(GatewayServer::queuedConnections(static_cast<int>(maximumConnections))))
    {
    }

    bool accept(const Poco::Net::StreamSocket & /*socket*/) override
    {
        const auto &dependencies = this->context.dependencies;
        // Only this thread increments the count.
        if (this->context.acceptedConnections >= this->maximumConnections) {
            this->context.closeLongestIdle();
        }
        if (this->context.acceptedConnections >= this->maximumAccepted) {
            dependencies.counters.counter("lovageward_connections_refused_total").add();
            dependencies.events.write("connection_refused",
                                      { { "reason", "too many open connections" }, { "open", this->context.acceptedConnections.load() } });
            return false;
        }
        ++this->context.acceptedConnections;
        return true;
    }

private:
    GatewayContext &context;
    std::size_t maximumConnections;
    std::size_t maximumAccepted;
};

}

int GatewayServer::queuedConnections(int maximumConnections)
{
    constexpr int divisor = 4;
    constexpr int minimum = 16;
    return std::clamp(maximumConnections / divisor, minimum, listenBacklog);
}

GatewayServer::GatewayServer(const ForwardDependencies &dependencies, std::string listenAddress, int maximumConnections)
    : listenAddress(std::move(listenAddress))
    , maximumConnections(maximumConnections)
    , context(dependencies, static_cast<std::size_t>(maximumConnections))
    , threadPool("callers", idleThreads, maximumConnections, threadIdleSeconds, threadStackBytes)
{
}

GatewayServer::~GatewayServer()
{
    this->stopAccepting();
    this->threadPool.joinAll();
}

void GatewayServer::start()
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(this->listenAddress), true);
        socket.listen(listenBacklog);
        Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
        params->setMaxThreads(this->threadPool.capacity());
        // The filter bounds the queue. POCO drops what exceeds it without telling the filter, so it must not be the smaller bound.
        params->setMaxQueued(listenBacklog);
        Poco::Net::TCPServerConnectionFactory::Ptr factory(new ConnectionFactory(this->context));
        this->server = std::make_unique<Poco::Net::TCPServer>(factory, this->threadPool, socket, params);
        this->server->setConnectionFilter(new ConnectionFilter(this->context, static_cast<std::size_t>(this->maximumConnections)));
        this->server->start();
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't listen on " + this->listenAddress + ": " + error.displayText());
    }
}

std::uint16_t GatewayServer::port() const
{
    return this->server ? this->server->port() : 0;
}

void GatewayServer::stopAccepting()
{
    if (this->server) {
        this->server->stop();
        this->server.reset();
    }
}

}
