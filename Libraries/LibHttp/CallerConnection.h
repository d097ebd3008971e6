#pragma once

#include <LibHttp/CallerRouter.h>
#include <LibHttp/ConnectionGuard.h>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include <atomic>
#include <optional>

namespace Lovageward {

/** State that the connections of one server share. */
struct CallerConnectionContext
{
    CallerServerParts parts;
    CallerServerSettings settings;
    DrainSignal drain;
    std::atomic<std::size_t> activeRequests = 0;
};

/**
 * One connection of a caller, served by one thread until it closes. POCO parses the requests and frames the responses. The loop over requests
 * replaces the one of Poco::Net::HTTPServerConnection, which answers a malformed request with an empty body and doesn't show when a request
 * begins to arrive.
 */
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket,
                     const Poco::Net::HTTPServerParams::Ptr &params,
                     CallerConnectionContext &context,
                     CallerRouter &router,
                     ConnectionGuard &guard);

    void run() override;

private:
    /** Answers one request. Returns true if the connection can carry another one. */
    bool serveRequest(Poco::Net::HTTPServerSession &session, GuardedConnection &guarded);

    /** Reads one request and answers it. Throws Error for a request that can't be accepted, and Poco::Exception for one that can't be read. */
    bool answerRequest(Poco::Net::HTTPServerSession &session, GuardedConnection &guarded, const std::string &requestId, TimePoint arrivedAt);

    /** Returns false if the caller left before the whole body arrived. */
    bool readBody(Poco::Net::HTTPServerRequest &request, std::size_t length, GuardedConnection &guarded, std::string &body);

    /** The answer to a request that POCO could not read, or nothing if the caller went away. */
    std::optional<Error> refusalFor(const Poco::Exception &error, const Poco::Net::HTTPServerSession &session, GuardedConnection &guarded) const;

    void refuse(Poco::Net::HTTPServerSession &session, const std::string &requestId, const Error &error);

    /** Reads the rest of a refused request, so that closing the connection doesn't destroy the answer on its way. */
    void discardRest();

    Poco::Net::HTTPServerParams::Ptr params;
    CallerConnectionContext &context;
    CallerRouter &router;
    ConnectionGuard &guard;
};

}
