#include <LibHttp/RequestServer.h>

#include <LibCore/Error.h>
#include <LibHttp/ClientSession.h>
#include <LibHttp1/HeadEncoder.h>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace Lovageward {

namespace {

constexpr int minimumThreads = 2;
constexpr int threadIdleSeconds = 60;

/** Serves the requests of one connection on one thread. */
class ServedConnection final : public Poco::Net::TCPServerConnection
{
public:
    ServedConnection(const Poco::Net::StreamSocket &socket, RequestHandler &handler, ConnectionGuard &guard, const RequestServerSettings &settings)
        : Poco::Net::TCPServerConnection(socket), handler(handler), guard(guard), settings(settings)
    {
    }

    void run() override
    {
        this->socket().setReceiveTimeout(toTimespan(this->settings.requestTimeout));
        this->socket().setSendTimeout(toTimespan(this->settings.requestTimeout));
        this->socket().setNoDelay(true);
        ServerSession session(this->socket());
        GuardedConnection guarded(this->guard, this->socket());
        while (guarded.acceptsRequests() && session.awaitRequest(toTimespan(this->settings.idleTimeout)) && guarded.beginRequest()) {
            if (!this->serveRequest(session, guarded)) {
                break;
            }
            guarded.endRequest();
        }
    }

private:
    /** Returns true if the connection can carry another request. */
    bool serveRequest(ServerSession &session, GuardedConnection &guarded)
    {
        try {
            auto head = session.readHead(this->settings.limits);
            if (!head) {
                return this->endUnread(session, guarded);
            }
            std::optional<std::string> body;
            auto acceptsBody = this->handler.acceptsBody(*head);
            if (acceptsBody) {
                body = session.readBody(*head, this->settings.limits);
                if (!body) {
                    return this->endUnread(session, guarded);
                }
            }
            guarded.endArrival();
            auto isKeepAlive = acceptsBody && this->settings.keepsConnections && head->isKeepAlive();
            auto isSent = this->send(session, this->handler.handle(*head, body.value_or(std::string())), head->method.value() == "HEAD", isKeepAlive);
            if (!acceptsBody) {
                session.discardRest();
            }
            return isSent && isKeepAlive;
        } catch (const Error &error) {
            this->refuse(session, guarded, error);
        } catch (const std::exception &error) {
            this->refuse(session, guarded, Error(ResultCode::Internal, RunState::Unknown, error.what()));
        }
        return false;
    }

    /** Handles a connection that ended before its request was complete, as it does for a sender that is too slow. */
    bool endUnread(ServerSession &session, GuardedConnection &guarded)
    {
        if (!guarded.endArrival()) {
            this->refuse(session, guarded, slowSenderError());
        }
        return false;
    }

    void refuse(ServerSession &session, GuardedConnection &guarded, const Error &error)
    {
        // A sender that is too slow is told so, whatever else its request exceeds by then.
        this->send(session, this->handler.handleError(guarded.endArrival() ? error : slowSenderError()), false, false);
        session.discardRest();
    }

    static Error slowSenderError()
    {
        return Error(ResultCode::RequestTooSlow, RunState::NotRun, "the request did not arrive in time");
    }

    bool send(ServerSession &session, ServedResponse response, bool isHeadOnly, bool isKeepAlive)
    {
        using Poco::Net::HTTPResponse;
        ReasonPhrase reason(HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(response.status)));
        ResponseHead head { response.status, std::move(reason), std::move(response.fields) };
        head.fields.add("Content-Length", std::to_string(response.body.size()));
        if (!isKeepAlive) {
            head.fields.add("Connection", "close");
        }
        return session.write(encodeHead(head) + (isHeadOnly ? std::string() : response.body));
    }

    RequestHandler &handler;
    ConnectionGuard &guard;
    const RequestServerSettings settings;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(RequestHandler &handler, ConnectionGuard &guard, const RequestServerSettings &settings)
        : handler(handler), guard(guard), settings(settings)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new ServedConnection(socket, this->handler, this->guard, this->settings);
    }

private:
    RequestHandler &handler;
    ConnectionGuard &guard;
    RequestServerSettings settings;
};

}

RequestServer::RequestServer(const Clock &clock, RequestHandler &handler, const Poco::Net::ServerSocket &listener, const RequestServerSettings &settings)
    : guard(clock, settings.requestTimeout), threads("requests", minimumThreads, std::max(settings.maximumThreads, minimumThreads), threadIdleSeconds)
{
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(settings.maximumThreads);
    params->setMaxQueued(settings.maximumQueuedConnections);
    Poco::Net::TCPServerConnectionFactory::Ptr factory(new ConnectionFactory(handler, this->guard, settings));
    this->server = std::make_unique<Poco::Net::TCPServer>(factory, this->threads, listener, params);
    this->server->start();
}

RequestServer::~RequestServer()
{
    this->guard.beginClosing();
    this->server->stop();
    this->threads.joinAll();
}

std::uint16_t RequestServer::port() const
{
    return this->server->port();
}

}
