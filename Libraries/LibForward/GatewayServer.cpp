#include <LibForward/GatewayServer.h>

#include <LibCore/Error.h>
#include <LibHttp/Listener.h>

#include <Poco/Exception.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

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

}

GatewayServer::GatewayServer(const ForwardDependencies &dependencies, std::string listenAddress, int maximumConnections)
    : listenAddress(std::move(listenAddress))
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
    auto socket = openListener(this->listenAddress, listenBacklog);
    try {
        Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
        params->setMaxThreads(this->threadPool.capacity());
        // The filter bounds the queue. POCO drops what exceeds it without telling the filter, so it must not be the smaller bound.
        params->setMaxQueued(listenBacklog);
        Poco::Net::TCPServerConnectionFactory::Ptr factory(new ConnectionFactory(this->context));
        this->server = std::make_unique<Poco::Net::TCPServer>(factory, this->threadPool, socket, params);
        this->server->setConnectionFilter(new PlaceFilter(this->context.places));
        this->server->start();
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't serve callers on " + this->listenAddress + ": " + error.displayText());
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
