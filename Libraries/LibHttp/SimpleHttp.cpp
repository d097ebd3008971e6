#include <LibHttp/SimpleHttp.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>

namespace Lovageward {

SimpleAnswer
exchange(const Clock &clock, const std::string &address, const std::string &method, const std::string &path, const std::string &body, TimePoint deadline)
{
    // Poco treats a time limit of zero as no limit.
    auto patience = std::max<Duration>(deadline - clock.now(), milliseconds(1));
    Poco::Net::SocketAddress target(address);
    Poco::Net::HTTPClientSession session(target);
    session.setTimeout(Poco::Timespan(patience.count()));
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    auto &input = session.receiveResponse(response);
    SimpleAnswer answer;
    answer.status = response.getStatus();
    Poco::StreamCopier::copyToString(input, answer.body);
    return answer;
}

}
