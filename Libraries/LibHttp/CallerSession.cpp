#include <LibHttp/CallerSession.h>

#include <LibHttp/SocketChannel.h>

#include <Poco/Exception.h>

#include <algorithm>

namespace Lovageward {

namespace {

// An idle connection notices a shutdown after this time.
constexpr Duration idleCheckInterval = milliseconds(200);
// A kernel answers bytes that arrive after the close with a reset, upon which the caller's kernel may drop the unread answer.
constexpr Duration discardLimit = milliseconds(500);
constexpr std::size_t maximumDiscardedBytes = 4'194'304;

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
        this->router.refuse(error, response);
        this->discardRest(connection);
        return false;
    }
    if (this->context.drain.hasBegun() || !request.head.getKeepAlive()) {
        response.closeAfterwards();
    }
    this->router.handle(request, response);
    return response.isReusable();
}

void CallerSession::discardRest(HttpConnection &connection)
{
    try {
        this->socket().shutdownSend();
    } catch (const Poco::Exception &) {
        return;
    }
    auto deadline = this->context.parts.clock.now() + discardLimit;
    std::size_t discarded = 0;
    std::string bytes;
    while (discarded < maximumDiscardedBytes && connection.readSome(bytes, maximumDiscardedBytes, deadline) == ReadStatus::Ready) {
        discarded += bytes.size();
        bytes.clear();
    }
}

}
