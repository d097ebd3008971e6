#include <LibHttp/UpstreamExchange.h>

#include <LibCore/Error.h>
#include <LibHttp/BodyReader.h>

#include <Poco/Exception.h>

#include <sstream>

namespace Lovageward {

namespace {

constexpr std::size_t maximumHeadBytes = 16'384;

[[noreturn]] void throwUnknown(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::Unknown, message);
}

}

UpstreamExchange::UpstreamExchange(const Clock &clock, Counters &counters)
    : pool(clock)
    , mismatches(counters.counter("lovageward_upstream_mismatches_total"))
    , opened(counters.counter("lovageward_upstream_connections_total{kind=\"new\"}"))
    , reused(counters.counter("lovageward_upstream_connections_total{kind=\"reused\"}"))
{
}

UpstreamResponse
UpstreamExchange::send(const std::string &address, Poco::Net::HTTPRequest &request, const std::string &body, bool needsNewConnection, TimePoint deadline)
{
    UpstreamResponse response;
    response.connection = needsNewConnection ? nullptr : this->pool.take(address);
    response.isNewConnection = response.connection == nullptr;
    if (response.isNewConnection) {
        response.connection = this->pool.connect(address, deadline);
    }
    (response.isNewConnection ? this->opened : this->reused).add();
    request.setHost(address);
    if (!body.empty()) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    std::ostringstream message;
    request.write(message);
    message << body;
    if (!response.connection->write(message.str(), deadline)) {
        this->pool.drop(address);
        throwUnknown(ResultCode::UpstreamConnectionLost, "the connection to " + address + " broke while the request was written");
    }
    this->readHead(address, response, deadline);
    // The header's value is copied, because get() returns a reference to its default argument if there is no such header.
    std::string answered = response.head.get("X-Request-Id", "");
    if (!answered.empty() && answered != request.get("X-Request-Id", answered)) {
        this->rejectMismatch(address, address + " answered another request");
    }
    return response;
}

void UpstreamExchange::readHead(const std::string &address, UpstreamResponse &response, TimePoint deadline)
{
    std::string head;
    switch (response.connection->readHead(head, maximumHeadBytes, deadline)) {
    case ReadStatus::Ready:
        break;
    case ReadStatus::TimedOut:
        // Connections of the same age have probably lost their path as well.
        this->pool.drop(address);
        throwUnknown(ResultCode::UpstreamSilent, address + " did not answer in time");
    case ReadStatus::TooLarge:
        this->rejectMismatch(address, "the answer of " + address + " has too large a head");
    default:
        throwUnknown(ResultCode::UpstreamConnectionLost, address + " closed the connection before it answered");
    }
    try {
        std::istringstream stream(head);
        response.head.read(stream);
    } catch (const Poco::Exception &error) {
        this->rejectMismatch(address, "the answer of " + address + " is malformed: " + error.displayText());
    }
}

std::string UpstreamExchange::readBody(const std::string &address, UpstreamResponse &response, std::size_t maximumBytes, TimePoint deadline)
{
    BodyReader reader(*response.connection, response.head);
    std::string body;
    while (true) {
        switch (reader.readSome(body, deadline)) {
        case ReadStatus::Ready:
            if (body.size() > maximumBytes) {
                this->rejectMismatch(address, "the answer of " + address + " is too large");
            }
            continue;
        case ReadStatus::Ended:
            if (reader.isDelimited() && response.head.getKeepAlive()) {
                this->pool.giveBack(address, std::move(response.connection));
            }
            return body;
        case ReadStatus::TimedOut:
            this->pool.drop(address);
            throwUnknown(ResultCode::UpstreamSilent, address + " did not finish its answer in time");
        case ReadStatus::Malformed:
        case ReadStatus::TooLarge:
            this->rejectMismatch(address, "the answer of " + address + " is malformed");
        case ReadStatus::Truncated:
            throwUnknown(ResultCode::UpstreamConnectionLost, address + " closed the connection within its answer");
        }
    }
}

void UpstreamExchange::rejectMismatch(const std::string &address, const std::string &message)
{
    this->mismatches.add();
    this->pool.drop(address);
    throwUnknown(ResultCode::AnswerMismatch, message);
}

}
