#include <LibHttp/HttpServiceClient.h>

#include <LibCore/Error.h>

#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

constexpr std::size_t maximumAnswerBytes = 4'194'304;

bool isRefusal(int status)
{
    return status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
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
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, "/call/" + operation, Poco::Net::HTTPRequest::HTTP_1_1);
    request.set("X-Request-Id", call.request.value());
    auto response = this->exchange.send(address, request, call.body, call.needsNewConnection, deadline);
    int status = response.head.getStatus();
    bool isEchoed = response.head.has("X-Request-Id");
    // A refusal without the request id may belong to an earlier call on the same connection, so it proves nothing there.
    if (!isEchoed && !(isRefusal(status) && response.isNewConnection)) {
        this->exchange.rejectMismatch(address, address + " answered without the request id");
    }
    if (isRefusal(status)) {
        throw Error(ResultCode::UpstreamRefused, RunState::NotRun, address + " refused the call with status " + std::to_string(status), seconds(1));
    }
    auto body = this->exchange.readBody(address, response, maximumAnswerBytes, deadline);
    // POCO ends a malformed chunked body like a complete one, so without a Content-Length only the JSON shows that the answer is whole.
    if (!response.head.hasContentLength() && !isCompleteJson(body)) {
        this->exchange.rejectMismatch(address, address + " sent an answer that is not complete JSON");
    }
    return { status, body };
}

}
