#include <LibHttp/ClientSession.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <utility>

namespace Lovageward {

namespace {

// The pools decide on the age of connections, not POCO.
constexpr long longestKeepAliveSeconds = 3600;
// POCO and the kernel take a timeout of zero as none.
constexpr Duration shortestWait = milliseconds(1);

/** Throws for a status that no final response has. POCO takes any number, and a sign. */
void checkStatus(const Poco::Net::HTTPResponse &response)
{
    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;
    int status = response.getStatus();
    if (status < firstFinalStatus || status > lastStatus) {
        throw Poco::Net::MessageException("the answer has the impossible status", std::to_string(status));
    }
}

}

Poco::Timespan toTimespan(Duration time)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(time.count()));
}

ClientSession::ClientSession(const Clock &clock, Poco::AutoPtr<DeadlineSocket> connected)
    : Poco::Net::HTTPClientSession(Poco::Net::StreamSocket(connected.duplicate())), clock(clock), connection(std::move(connected))
{
    this->setKeepAlive(true);
    this->setKeepAliveTimeout(Poco::Timespan(longestKeepAliveSeconds, 0));
}

std::unique_ptr<ClientSession> ClientSession::connect(const Clock &clock, const std::string &address, TimePoint deadline)
{
    Poco::AutoPtr<DeadlineSocket> connection(new DeadlineSocket(clock));
    connection->connect(Poco::Net::SocketAddress(address), toTimespan(std::max(deadline - clock.now(), shortestWait)));
    connection->setNoDelay(true);
    return std::make_unique<ClientSession>(clock, std::move(connection));
}

std::istream &ClientSession::exchange(Poco::Net::HTTPRequest &request, const std::string &body, Poco::Net::HTTPResponse &response, TimePoint deadline)
{
    this->connection->setDeadline(deadline);
    request.setKeepAlive(true);
    auto &output = this->sendRequest(request);
    output.write(body.data(), static_cast<std::streamsize>(body.size()));
    output.flush();
    if (!output.good()) {
        throw Poco::Net::ConnectionResetException("the connection broke while the request was written");
    }
    std::istream *stream = nullptr;
    try {
        stream = &this->receiveResponse(response);
    } catch (const Poco::Net::MessageException &) {
        if (!this->connection->hasReceivedEnd()) {
            throw;
        }
    }
    // POCO reads no further than the end of a head. It takes a head that ends with the connection for a whole or a malformed one.
    if (this->connection->hasReceivedEnd()) {
        throw Poco::Net::ConnectionResetException("the connection broke within the head of the answer");
    }
    checkStatus(response);
    return *stream;
}

bool ClientSession::readSome(std::istream &stream, std::string &target, TimePoint deadline)
{
    this->connection->setDeadline(deadline);
    this->clearException();
    stream.clear();
    if (stream.peek() == std::istream::traits_type::eof()) {
        // The stream itself reports a broken or silent connection like its end.
        if (this->networkException() != nullptr) {
            this->networkException()->rethrow();
        }
        return false;
    }
    auto count = static_cast<std::size_t>(stream.rdbuf()->in_avail());
    auto before = target.size();
    target.resize(before + count);
    stream.read(target.data() + before, static_cast<std::streamsize>(count));
    return true;
}

std::string ClientSession::readWhole(std::istream &stream, const Poco::Net::HTTPResponse &response, std::size_t maximumBytes, TimePoint deadline)
{
    std::string body;
    while (this->readSome(stream, body, deadline)) {
        if (body.size() > maximumBytes) {
            throw Poco::DataException("the answer is too large");
        }
        if (this->clock.now() >= deadline) {
            throw Poco::TimeoutException("the answer did not end in time");
        }
    }
    if (response.getChunkedTransferEncoding()) {
        // Bytes that POCO didn't take as a part of the body follow only a malformed chunk; a closed connection has none. Readiness is asked
        // first, because bytes may arrive between the two calls.
        auto isReadable = this->isUnusable();
        if (this->buffered() > 0 || (this->connected() && this->socket().available() > 0)) {
            throw Poco::DataException("the answer is malformed");
        }
        if (isReadable) {
            throw Poco::Net::ConnectionResetException("the connection broke within the answer");
        }
    } else if (response.hasContentLength() && response.getContentLength64() != static_cast<Poco::Int64>(body.size())) {
        throw Poco::Net::ConnectionResetException("the connection broke within the answer");
    }
    return body;
}

bool ClientSession::isUnusable()
{
    return !this->connected() || this->buffered() > 0 || this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

}
