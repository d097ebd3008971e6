#include <LibHttp/CallerConnection.h>

#include <LibHttp/ClientSession.h>
#include <LibHttp/RequestLimits.h>

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace Lovageward {

namespace {

// A kernel answers bytes that arrive after the close with a reset, upon which the caller's kernel may drop the unread answer.
constexpr Duration discardLimit = milliseconds(500);
constexpr std::size_t maximumDiscardedBytes = 4'194'304;
// The body's memory grows with what has arrived, not with what was announced.
constexpr std::size_t bodyBlockBytes = 16'384;

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

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket,
                                   const Poco::Net::HTTPServerParams::Ptr &params,
                                   CallerConnectionContext &context,
                                   CallerRouter &router,
                                   ConnectionGuard &guard)
    : Poco::Net::TCPServerConnection(socket), params(params), context(context), router(router), guard(guard)
{
}

void CallerConnection::run()
{
    Poco::Net::HTTPServerSession session(this->socket(), this->params);
    this->socket().setSendTimeout(toTimespan(this->context.settings.slowSenderTimeout));
    // Tokens are small writes that must not wait for an acknowledgement.
    this->socket().setNoDelay(true);
    GuardedConnection guarded(this->guard, this->socket());
    while (guarded.acceptsRequests() && session.hasMoreRequests() && guarded.beginRequest()) {
        if (!this->serveRequest(session, guarded)) {
            break;
        }
        guarded.endRequest();
    }
}

bool CallerConnection::serveRequest(Poco::Net::HTTPServerSession &session, GuardedConnection &guarded)
{
    ActiveRequest active(this->context.activeRequests);
    auto arrivedAt = this->context.parts.clock.now();
    auto requestId = this->context.parts.random.hexId();
    std::optional<Error> refusal;
    try {
        return this->answerRequest(session, guarded, requestId, arrivedAt);
    } catch (const Error &error) {
        refusal = error;
    } catch (const Poco::Exception &error) {
        refusal = this->refusalFor(error, session, guarded);
    }
    if (refusal) {
        this->refuse(session, requestId, *refusal);
    }
    return false;
}

bool CallerConnection::answerRequest(Poco::Net::HTTPServerSession &session, GuardedConnection &guarded, const std::string &requestId, TimePoint arrivedAt)
{
    Poco::Net::HTTPServerResponseImpl response(session);
    Poco::Net::HTTPServerRequestImpl request(response, session, this->params);
    CallerRequest received { request, {}, arrivedAt };
    auto length = checkRequestHead(request, this->context.settings);
    if (length > 0 && request.getExpectContinue()) {
        response.sendContinue();
    }
    if (!this->readBody(request, length, guarded, received.body)) {
        return false;
    }
    ResponseWriter writer(response, this->socket(), requestId, request);
    // POCO takes a head that the caller broke off for a complete one.
    if (writer.isCallerGone()) {
        return false;
    }
    if (this->context.drain.hasBegun() || !request.getKeepAlive()) {
        writer.closeAfterwards();
    }
    this->router.handle(received, writer);
    return writer.finish();
}

bool CallerConnection::readBody(Poco::Net::HTTPServerRequest &request, std::size_t length, GuardedConnection &guarded, std::string &body)
{
    auto &stream = request.stream();
    while (body.size() < length && stream.good()) {
        auto before = body.size();
        body.resize(std::min(length, before + bodyBlockBytes));
        stream.read(body.data() + before, static_cast<std::streamsize>(body.size() - before));
        body.resize(before + static_cast<std::size_t>(stream.gcount()));
    }
    if (!guarded.endArrival()) {
        throw slowSenderRefusal(this->context.settings);
    }
    return body.size() == length;
}

std::optional<Error> CallerConnection::refusalFor(const Poco::Exception &error, const Poco::Net::HTTPServerSession &session, GuardedConnection &guarded) const
{
    if (!guarded.endArrival()) {
        return slowSenderRefusal(this->context.settings);
    }
    bool isGone = dynamic_cast<const Poco::Net::NoMessageException *>(&error) != nullptr || session.networkException() != nullptr;
    return isGone ? std::nullopt : std::optional(headRefusal(error));
}

void CallerConnection::refuse(Poco::Net::HTTPServerSession &session, const std::string &requestId, const Error &error)
{
    {
        Poco::Net::HTTPServerResponseImpl response(session);
        ResponseWriter writer(response, this->socket(), requestId);
        // The rest of the request is unread, so the connection can't be used again.
        writer.closeAfterwards();
        this->router.refuse(error, writer);
    }
    this->discardRest();
}

void CallerConnection::discardRest()
{
    try {
        auto &clock = this->context.parts.clock;
        auto deadline = clock.now() + discardLimit;
        std::size_t discarded = 0;
        std::array<char, 4096> block {};
        this->socket().shutdownSend();
        this->socket().setReceiveTimeout(toTimespan(discardLimit));
        while (discarded < maximumDiscardedBytes && clock.now() < deadline) {
            auto count = this->socket().receiveBytes(block.data(), block.size());
            if (count <= 0) {
                return;
            }
            discarded += static_cast<std::size_t>(count);
        }
    } catch (const Poco::Exception &) {
        // The caller has gone or sends nothing, so there is nothing to discard.
        return;
    }
}

}
