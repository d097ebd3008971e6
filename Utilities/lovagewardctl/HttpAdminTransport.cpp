#include <lovagewardctl/HttpAdminTransport.h>

#include <LibCore/Error.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;

Error failure(const std::string &method, bool isWritten, const std::string &reason)
{
    if (isWritten && method != HTTPRequest::HTTP_GET) {
        return Error(ResultCode::OutcomeUnknown, RunState::Unknown, fmt::format("the change may have been made: {}", reason));
    }
    return Error(ResultCode::PeerUnreachable, RunState::NotRun, fmt::format("the administration API can't be reached: {}", reason));
}

}

HttpAdminTransport::HttpAdminTransport(const std::string &address, std::string key, Duration timeout) : key(std::move(key)), timeout(timeout)
{
    auto colon = address.rfind(':');
    auto number = 0U;
    auto isNumber = colon != std::string::npos && Poco::NumberParser::tryParseUnsigned(address.substr(colon + 1), number);
    if (!isNumber || colon == 0 || number == 0 || number > UINT16_MAX) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, fmt::format("'{}' is not an address of the form host:port", address));
    }
    this->host = address.substr(0, colon);
    this->port = static_cast<std::uint16_t>(number);
}

AdminAnswer HttpAdminTransport::call(const std::string &method, const std::string &target, const std::string &body)
{
    auto isWritten = false;
    try {
        HTTPClientSession session(this->host, this->port);
        session.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(this->timeout.count())));
        // Without keep-alive POCO doesn't send a request a second time on a new connection.
        session.setKeepAlive(false);
        HTTPRequest request(method, "/admin/v1/" + target, HTTPRequest::HTTP_1_1);
        request.setKeepAlive(false);
        request.set("Authorization", "Bearer " + this->key);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        // The header alone has no effect; the connection is made while it is sent.
        auto &output = session.sendRequest(request);
        isWritten = true;
        output << body << std::flush;
        Poco::Net::HTTPResponse response;
        AdminAnswer answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        return answer;
    } catch (const Poco::Exception &error) {
        throw failure(method, isWritten, error.displayText());
    }
}

}
