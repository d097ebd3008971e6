#include <LibHttp/CallerSession.h>

#include <LibHttp/SocketChannel.h>

#include <algorithm>

namespace Lovageward {

namespace {

// An idle connection notices a shutdown after this time.
constexpr Duration idleCheckInterval = milliseconds(200);

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

CallerSession::CallerSession(const Poco::Net::StreamSocket &socket, CallerSessionContext &context, CallerRouter &router)
    : Poco::Net::TCPServerConnection(socket), context(context), router(router)
{
}

void CallerSession::run()
{
    HttpConnection connection(std::make_unique<SocketChannel>(this->context.parts.clock, this->socket()));
    while (this->waitForRequest(connection)) {
        if (!this->serveRequest(connection)) {
            break;
        }
    }
}

bool CallerSession::waitForRequest(HttpConnection &connection) const
{
    const auto &clock = this->context.parts.clock;
    auto deadline = clock.now() + this->context.settings.idleConnectionTimeout;
    while (clock.now() < deadline && !this->context.isClosing) {
        auto status = connection.waitForMessage(std::min(deadline, clock.now() + idleCheckInterval));
        if (status != ReadStatus::TimedOut) {
            return status == ReadStatus::Ready;
        }
    }
    return false;
}

bool CallerSession::serveRequest(HttpConnection &connection)
{
    ActiveRequest active(this->context.activeRequests);
    const auto &settings = this->context.settings;
    ResponseWriter response(connection, this->context.parts.clock, settings.slowSenderTimeout, this->context.parts.random.hexId());
    CallerRequest request;
    try {
        if (!RequestReader(this->context.parts.clock, settings).read(connection, request)) {
            return false;
        }
    } catch (const Error &error) {
        // The rest of the request is unread, so the connection can't be used again.
        response.closeAfterwards();
        response.writeError(error);
        return false;
    }
    if (this->context.drain.hasBegun() || !request.head.getKeepAlive()) {
        response.closeAfterwards();
    }
    this->router.handle(request, response);
    return response.isReusable();
}

}
