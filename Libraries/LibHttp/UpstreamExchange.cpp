#include <LibHttp/UpstreamExchange.h>

#include <LibCore/Error.h>

#include <Poco/Net/NetException.h>

namespace Lovageward {

namespace {

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

UpstreamResponse UpstreamExchange::send(const std::string &address, RequestHead request, const std::string &body, bool needsNewConnection, TimePoint deadline)
{
    UpstreamResponse response;
    response.connection = needsNewConnection ? nullptr : this->pool.take(address);
    response.isNewConnection = response.connection == nullptr;
    if (response.isNewConnection) {
        response.connection = this->pool.connect(address, deadline);
    }
    (response.isNewConnection ? this->opened : this->reused).add();
    request.fields.set("Host", address);
    if (!body.empty()) {
        request.fields.set("Content-Type", "application/json");
    }
    auto expected = request.fields.get("X-Request-Id");
    try {
        response.head = response.connection->exchange(std::move(request), body, deadline);
    } catch (const Poco::Exception &error) {
        this->fail(address, error);
    }
    const auto &answered = response.head.fields.get("X-Request-Id");
    if (!answered.empty() && !expected.empty() && answered != expected) {
        this->rejectMismatch(address, address + " answered another request");
    }
    return response;
}

void UpstreamExchange::fail(const std::string &address, const Poco::Exception &error)
{
    if (dynamic_cast<const Poco::TimeoutException *>(&error) != nullptr) {
        // Connections of the same age have probably lost their path as well.
        this->pool.drop(address);
        throwUnknown(ResultCode::UpstreamSilent, address + " did not answer in time");
    }
    bool isClosed = dynamic_cast<const Poco::Net::NoMessageException *>(&error) != nullptr;
    bool isMalformed = dynamic_cast<const Poco::Net::MessageException *>(&error) != nullptr || dynamic_cast<const Poco::DataException *>(&error) != nullptr;
    if (isMalformed && !isClosed) {
        this->rejectMismatch(address, "the answer of " + address + " is malformed: " + error.displayText());
    }
    throwUnknown(ResultCode::UpstreamConnectionLost, "the connection to " + address + " broke before the answer was complete: " + error.displayText());
}

std::string UpstreamExchange::readBody(const std::string &address, UpstreamResponse &response, std::size_t maximumBytes, TimePoint deadline)
{
    std::string body;
    try {
        body = response.connection->readWhole(maximumBytes, deadline);
    } catch (const Poco::Exception &error) {
        this->fail(address, error);
    }
    if (response.isReusable()) {
        this->pool.giveBack(address, std::move(response.connection));
    }
    return body;
}

void UpstreamExchange::rejectMismatch(const std::string &address, const std::string &message)
{
    this->mismatches.add();
    this->pool.drop(address);
    throwUnknown(ResultCode::AnswerMismatch, message);
}

}
