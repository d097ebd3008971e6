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
    RequestHead request { Method(method), RequestTarget(path), {} };
    request.fields.add("Host", address);
    request.fields.add("Content-Type", "application/json");
    auto response = session->exchange(std::move(request), body, deadline);
    return SimpleAnswer { response.status, session->readWhole(maximumAnswerBytes, deadline) };
}

}
