#include <LibHttp/ClientSession.h>

#include <LibCore/Error.h>
#include <LibHttp1/HeadDecoder.h>
#include <LibHttp1/HeadEncoder.h>
#include <LibHttp1/MessageFraming.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>

#include <sys/socket.h>

namespace Lovageward {

namespace {

// The kernel takes a timeout of zero as none.
constexpr Duration shortestWait = milliseconds(1);

/** Largest size of the heads of one response, including interim ones. */
constexpr std::size_t maximumHeadBytes = 65'536;

constexpr std::size_t receiveBytes = 16'384;

/** Statuses below are interim (1xx) and precede the final response. */
constexpr int firstFinalStatus = 200;

/** True if bytes that don't hold a whole head yet can be the beginning of one. */
bool canBeginHead(std::string_view bytes)
{
    constexpr std::string_view begin = "HTTP/1.";
    auto length = std::min(bytes.size(), begin.size());
    return bytes.substr(0, length) == begin.substr(0, length);
}

/** True for the methods whose requests state the length of an empty body as well (RFC 9110, section 8.6). */
bool expectsBody(const Method &method)
{
    return method.value() == "POST" || method.value() == "PUT" || method.value() == "PATCH";
}

}

Poco::Timespan toTimespan(Duration time)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(time.count()));
}

ClientSession::ClientSession(const Clock &clock, Poco::AutoPtr<DeadlineSocket> connected)
    : clock(clock), connection(std::move(connected)), socket(this->connection.duplicate())
{
}

std::unique_ptr<ClientSession> ClientSession::connect(const Clock &clock, const std::string &address, TimePoint deadline)
{
    Poco::AutoPtr<DeadlineSocket> connection(new DeadlineSocket(clock));
    connection->connect(Poco::Net::SocketAddress(address), toTimespan(std::max(deadline - clock.now(), shortestWait)));
    connection->setNoDelay(true);
    return std::make_unique<ClientSession>(clock, std::move(connection));
}

void ClientSession::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto count = this->connection->sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException("the connection broke while the request was written");
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool ClientSession::receive()
{
    std::array<char, receiveBytes> buffer {};
    auto count = this->connection->receiveBytes(buffer.data(), static_cast<int>(buffer.size()), 0);
    this->received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

ResponseHead ClientSession::readHead(TimePoint deadline)
{
    this->connection->setDeadline(deadline);
    std::size_t headBytes = 0;
    while (true) {
        if (auto head = extractHead(this->received)) {
            headBytes += head->size();
            auto response = decodeResponseHead(*head);
            if (response.status >= firstFinalStatus && headBytes <= maximumHeadBytes) {
                return response;
            }
        } else if (!canBeginHead(this->received)) {
            throw Poco::Net::MessageException("the bytes received aren't the head of a response");
        } else if (headBytes + this->received.size() <= maximumHeadBytes) {
            if (!this->receive()) {
                throw Poco::Net::ConnectionResetException("the connection broke within the head of the response");
            }
            continue;
        }
        if (headBytes + this->received.size() > maximumHeadBytes) {
            throw Poco::Net::MessageException("the heads of the response are too large");
        }
    }
}

ResponseHead ClientSession::exchange(RequestHead request, std::string_view body, TimePoint deadline)
{
    this->connection->setDeadline(deadline);
    if (!body.empty() || expectsBody(request.method)) {
        request.fields.add("Content-Length", std::to_string(body.size()));
    }
    this->isBodyComplete = false;
    this->keepsConnection = false;
    this->write(encodeHead(request));
    this->write(body);
    try {
        auto response = this->readHead(deadline);
        auto framing = responseFraming(response, request.method.value());
        this->decoder.emplace(framing.type, framing.length);
        this->keepsConnection = response.isKeepAlive() && framing.type != BodyFraming::UntilClose;
        return response;
    } catch (const Error &error) {
        throw Poco::Net::MessageException(error.what());
    }
}

bool ClientSession::readSome(std::string &target, TimePoint deadline)
{
    this->connection->setDeadline(deadline);
    auto sizeBefore = target.size();
    while (!this->isBodyComplete) {
        auto state = this->decoder->decode(this->received, target);
        if (state == BodyDecoder::State::Malformed || state == BodyDecoder::State::LimitExceeded) {
            throw Poco::DataException("the body of the response is malformed");
        }
        this->isBodyComplete = state == BodyDecoder::State::Complete;
        if (target.size() > sizeBefore) {
            return true;
        }
        if (this->isBodyComplete || this->receive()) {
            continue;
        }
        if (this->decoder->handleConnectionClosed() != BodyDecoder::State::Complete) {
            throw Poco::Net::ConnectionResetException("the connection broke within the response");
        }
        this->isBodyComplete = true;
    }
    return false;
}

std::string ClientSession::readWhole(std::size_t maximumBytes, TimePoint deadline)
{
    std::string body;
    while (this->readSome(body, deadline)) {
        if (body.size() > maximumBytes) {
            throw Poco::DataException("the response is too large");
        }
        if (this->clock.now() >= deadline) {
            throw Poco::TimeoutException("the response did not end in time");
        }
    }
    return body;
}

bool ClientSession::isUnusable()
{
    return !this->isBodyComplete || !this->received.empty() || this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

}
