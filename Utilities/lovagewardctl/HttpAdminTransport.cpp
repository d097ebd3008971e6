#include <lovagewardctl/HttpAdminTransport.h>

#include <LibCore/Error.h>
#include <LibHttp/ClientSession.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

using Poco::Net::HTTPRequest;

/** Largest body of a response of the administration API. */
constexpr std::size_t maximumAnswerBytes = std::size_t(64) * 1024 * 1024;

Error failure(const std::string &method, bool isWritten, const std::string &reason)
{
    if (isWritten && method != HTTPRequest::HTTP_GET) {
        return Error(ResultCode::OutcomeUnknown, RunState::Unknown, fmt::format("the change may have been made: {}", reason));
    }
    return Error(ResultCode::PeerUnreachable, RunState::NotRun, fmt::format("the administration API can't be reached: {}", reason));
}

}

HttpAdminTransport::HttpAdminTransport(const Clock &clock, std::string address, std::string key, Duration timeout)
    : clock(clock), address(std::move(address)), key(std::move(key)), timeout(timeout)
{
    auto colon = this->address.rfind(':');
    auto number = 0U;
    auto isNumber = colon != std::string::npos && Poco::NumberParser::tryParseUnsigned(this->address.substr(colon + 1), number);
    if (!isNumber || colon == 0 || number == 0 || number > UINT16_MAX) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("'{}' is not an address of the form host:port", this->address));
    }
}

AdminAnswer HttpAdminTransport::call(const std::string &method, const std::string &target, const std::string &body)
{
    auto isWritten = false;
    try {
        auto deadline = this->clock.now() + this->timeout;
        auto session = ClientSession::connect(this->clock, this->address, deadline);
        HTTPRequest request(method, "/admin/v1/" + target, HTTPRequest::HTTP_1_1);
        request.setHost(this->address);
        request.set("Authorization", "Bearer " + this->key);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        isWritten = true;
        Poco::Net::HTTPResponse response;
        auto &stream = session->exchange(request, body, response, deadline);
        return AdminAnswer { response.getStatus(), session->readWhole(stream, response, maximumAnswerBytes, deadline) };
    } catch (const Poco::Exception &error) {
        throw failure(method, isWritten, error.displayText());
    }
}

}
