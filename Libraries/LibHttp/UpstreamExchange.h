#pragma once

#include <LibCore/Counters.h>
#include <LibHttp/ConnectionPool.h>

#include <Poco/Exception.h>

#include <memory>
#include <string>

namespace Lovageward {

/** A response head and the connection that carries its body. */
struct UpstreamResponse
{
    std::unique_ptr<ClientSession> connection;
    ResponseHead head;
    /** True if the connection was opened for this call, so that no answer to an earlier call can arrive on it. */
    bool isNewConnection = false;

    /** True if the body ends before the connection does, so that the connection can be used again. */
    bool isReusable() const
    {
        return this->connection && this->connection->isKeptAlive();
    }
};

/** Sends requests to upstreams and reads the response heads. Safe from several threads. */
class UpstreamExchange
{
public:
    UpstreamExchange(const Clock &clock, Counters &counters);

    /**
     * Throws Error(UpstreamUnavailable, NotRun) if nothing was written, and Error with Unknown otherwise: UpstreamConnectionLost,
     * UpstreamSilent, or AnswerMismatch if the head is malformed or its X-Request-Id differs from the request's.
     */
    UpstreamResponse send(const std::string &address, RequestHead request, const std::string &body, bool needsNewConnection, TimePoint deadline);

    /** Reads a whole body of bounded size and keeps the connection if it can be used again. Throws as send(). */
    std::string readBody(const std::string &address, UpstreamResponse &response, std::size_t maximumBytes, TimePoint deadline);

    /** Counts a mismatch, closes the idle connections to the address and throws Error(AnswerMismatch, Unknown). */
    [[noreturn]] void rejectMismatch(const std::string &address, const std::string &message);

    ConnectionPool &connections()
    {
        return this->pool;
    }

private:
    /** Throws the error that a failed exchange stands for. A byte of the request may have been written. */
    [[noreturn]] void fail(const std::string &address, const Poco::Exception &error);

    ConnectionPool pool;
    Counter &mismatches;
    Counter &opened;
    Counter &reused;
};

}
