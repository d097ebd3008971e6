#include <LibHttp/CallerConnection.h>

#include <LibHttp/ClientSession.h>
#include <LibHttp/Listener.h>
#include <LibHttp/RequestLimits.h>

#include <optional>

namespace Lovageward {

namespace {

/** Counts a request as active for the life of the object. */
class ActiveRequest
{
public:
    explicit ActiveRequest(std::atomic<std::size_t> &count) : count(count)
    {
        ++this->count;
    }

    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    ~ActiveRequest()
    {
        --this->count;
    }

private:
    std::atomic<std::size_t> &count;
};

}

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket, CallerConnectionContext &context, CallerRouter &router, ConnectionGuard &guard)
    : Poco::Net::TCPServerConnection(socket), context(context), router(router), guard(guard)
{
}

CallerConnection::~CallerConnection()
{
    this->context.places.remove();
}

void CallerConnection::run()
{
    const auto &settings = this->context.settings;
    const auto &parts = this->context.parts;
    this->context.places.makePlaceForWaiting();
    this->socket().setReceiveTimeout(toTimespan(settings.idleConnectionTimeout));
    this->socket().setSendTimeout(toTimespan(settings.slowSenderTimeout));
    // Tokens are small writes that must not wait for an acknowledgement.
    this->socket().setNoDelay(true);
    ConnectionMemory memory({ parts.clock, parts.memory, parts.counters, settings.memoryWait },
                            { this->context.places.listener(), peerAddress(this->socket()) },
                            this->socket().impl()->sockfd());
    ServerSession session(this->socket(), memory, parts.clock, settings.bodyRate);
    GuardedConnection guarded(this->guard, this->socket());
    while (guarded.acceptsRequests() && session.awaitRequest(toTimespan(settings.idleConnectionTimeout)) && guarded.beginRequest()) {
        if (!this->serveRequest(session, guarded)) {
            break;
        }
        guarded.endRequest();
        memory.endServing();
    }
}

bool CallerConnection::serveRequest(ServerSession &session, GuardedConnection &guarded)
{
    ActiveRequest active(this->context.activeRequests);
    auto arrivedAt = this->context.parts.clock.now();
    auto requestId = this->context.parts.random.hexId();
    try {
        return this->answerRequest(session, guarded, requestId, arrivedAt);
    } catch (const Error &error) {
        // A sender that is too slow is told so, whatever else its request exceeds by then.
        this->refuse(session, requestId, guarded.endArrival() ? error : slowSenderRefusal(this->context.settings));
        return false;
    }
}

bool CallerConnection::answerRequest(ServerSession &session, GuardedConnection &guarded, const std::string &requestId, TimePoint arrivedAt)
{
    auto limits = requestLimits(this->context.settings);
    auto head = session.readHead(limits);
    std::optional<std::string> body;
    if (head) {
        rejectChunkedRequest(*head);
        body = session.readBody(*head, limits);
    }
    if (!guarded.endArrival()) {
        throw slowSenderRefusal(this->context.settings);
    }
    if (!body) {
        return false;
    }
    CallerRequest received { std::move(*head), std::move(*body), arrivedAt };
    ResponseWriter writer(session, requestId, received.head);
    if (this->context.drain.hasBegun() || !received.head.isKeepAlive() || this->context.places.hasWaitingConnections()) {
        writer.closeAfterwards();
    }
    this->router.handle(received, writer);
    return writer.finish();
}

void CallerConnection::refuse(ServerSession &session, const std::string &requestId, const Error &error)
{
    ResponseWriter writer(session, requestId);
    // The rest of the request is unread, so the connection can't be used again.
    writer.closeAfterwards();
    this->router.refuse(error, writer);
    session.discardRest();
}

}
