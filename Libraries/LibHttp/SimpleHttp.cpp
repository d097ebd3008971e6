#include <LibHttp/SimpleHttp.h>

#include <LibHttp/ClientSession.h>

namespace Lovageward {

namespace {

constexpr std::size_t maximumAnswerBytes = std::size_t(16) * 1024 * 1024;

}

SimpleAnswer
exchange(const Clock &clock, const std::string &address, const std::string &method, const std::string &path, const std::string &body, TimePoint deadline)
{
    auto session = ClientSession::connect(clock, address, deadline);
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    Poco::Net::HTTPResponse response;
    auto &input = session->exchange(request, body, response, deadline);
    return SimpleAnswer { response.getStatus(), session->readWhole(input, response, maximumAnswerBytes, deadline) };
}

}
