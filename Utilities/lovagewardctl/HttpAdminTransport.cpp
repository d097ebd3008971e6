#include <lovagewardctl/HttpAdminTransport.h>

#include <LibCore/Error.h>
#include <LibHttp/ClientSession.h>

#include <Poco/NumberParser.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

/** Largest body of a response of the administration API. */
constexpr std::size_t maximumAnswerBytes = std::size_t(64) * 1024 * 1024;

Error failure(const std::string &method, bool isWritten, const std::string &reason)
{
    if (isWritten && method != "GET") {
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
    if (!FieldValue::parse("Bearer " + this->key)) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "the key can't be sent in a header field");
    }
}

AdminAnswer HttpAdminTransport::call(const std::string &method, const std::string &target, const std::string &body)
{
    auto isWritten = false;
    try {
        auto deadline = this->clock.now() + this->timeout;
        auto session = ClientSession::connect(this->clock, this->address, deadline);
        RequestHead request { Method(method), RequestTarget("/admin/v1/" + target), {} };
        request.fields.add("Host", this->address);
        request.fields.add("Authorization", "Bearer " + this->key);
        request.fields.add("Content-Type", "application/json");
        isWritten = true;
        auto response = session->exchange(std::move(request), body, deadline);
        return AdminAnswer { response.status, session->readWhole(maximumAnswerBytes, deadline) };
    } catch (const Poco::Exception &error) {
        throw failure(method, isWritten, error.displayText());
    }
}

}
