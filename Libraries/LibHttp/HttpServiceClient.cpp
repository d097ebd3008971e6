#include <LibHttp/HttpServiceClient.h>

#include <LibCore/Error.h>

#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

constexpr std::size_t maximumAnswerBytes = 4'194'304;

bool isRefusal(int status)
{
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == tooManyRequests || status == unavailable;
}

bool isCompleteJson(const std::string &body)
{
    try {
        return !Poco::JSON::Parser().parse(body).isEmpty();
    } catch (const Poco::Exception &) {
        return false;
    }
}

}

ServiceAnswer HttpServiceClient::call(const std::string &address, const ServiceCall &call, TimePoint deadline)
{
    std::string operation;
    Poco::URI::encode(call.operation, "/?#", operation);
    RequestHead request { Method("POST"), RequestTarget("/call/" + operation), {} };
    request.fields.add("X-Request-Id", call.request.value());
    auto response = this->exchange.send(address, std::move(request), call.body, call.needsNewConnection, deadline);
    int status = response.head.status;
    bool isEchoed = response.head.fields.has("X-Request-Id");
    // A refusal without the request id may belong to an earlier call on the same connection, so it proves nothing there.
    if (!isEchoed && !(isRefusal(status) && response.isNewConnection)) {
        this->exchange.rejectMismatch(address, address + " answered without the request id");
    }
    if (isRefusal(status)) {
        throw Error(ResultCode::UpstreamRefused, RunState::NotRun, address + " refused the call with status " + std::to_string(status), seconds(1));
    }
    auto body = this->exchange.readBody(address, response, maximumAnswerBytes, deadline);
    // A body that ends with its connection may be cut, so without a Content-Length only the JSON shows that the answer is whole.
    if (!response.head.fields.has("Content-Length") && !isCompleteJson(body)) {
        this->exchange.rejectMismatch(address, address + " sent an answer that is not complete JSON");
    }
    return { status, body };
}

}
