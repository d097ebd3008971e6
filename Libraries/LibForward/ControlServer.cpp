#include <LibForward/ControlServer.h>

#include <LibCore/Error.h>
#include <LibForward/HttpPeerFeed.h>
#include <LibHttp/ErrorBody.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

constexpr int listenBacklog = 64;

constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int notFoundStatus = 404;
constexpr int unavailableStatus = 503;

ServedResponse makeResponse(int status, const std::string &contentType, std::string body)
{
    ServedResponse response { status, {}, std::move(body) };
    response.fields.add("Content-Type", contentType);
    return response;
}

RequestServerSettings serverSettings()
{
    RequestServerSettings settings;
    // An idle connection would occupy one of the few threads.
    settings.keepsConnections = false;
    return settings;
}

}

ControlServer::ControlServer(const Clock &clock, const Readiness &readiness, const Counters &counters, FeedPageCache &pages, std::string readinessPath)
    : clock(clock), readiness(readiness), counters(counters), pages(pages), readinessPath(std::move(readinessPath))
{
}

bool ControlServer::acceptsBody(const RequestHead & /*head*/)
{
    return true;
}

ServedResponse ControlServer::handle(const RequestHead &head, const std::string & /*body*/)
{
    try {
        Poco::URI uri(head.target.value());
        if (uri.getPath() == this->readinessPath) {
            auto report = this->readiness.report();
            return makeResponse(report.isReady ? okStatus : unavailableStatus, "text/plain", report.message);
        }
        if (uri.getPath() == "/metrics") {
            return makeResponse(okStatus, "text/plain; version=0.0.4", this->counters.exposition());
        }
        if (uri.getPath() == feedPagePath) {
            return this->feedPage(uri);
        }
        return makeResponse(notFoundStatus, "text/plain", {});
    } catch (const Poco::Exception &error) {
        return makeResponse(badRequestStatus, "text/plain", error.displayText());
    }
}

ServedResponse ControlServer::handleError(const Error &error)
{
    return makeResponse(httpStatus(error.code()), "application/json", errorBody(error, {}));
}

ServedResponse ControlServer::feedPage(const Poco::URI &uri)
{
    unsigned topic = feedTopicCount;
    Poco::UInt64 offset = 0;
    Poco::UInt64 era = 0;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        auto isParsed = name == "topic" ? Poco::NumberParser::tryParseUnsigned(value, topic)
                                        : Poco::NumberParser::tryParseUnsigned64(value, name == "era" ? era : offset);
        if (!isParsed) {
            topic = feedTopicCount;
            break;
        }
    }
    if (topic >= feedTopicCount) {
        return makeResponse(badRequestStatus, "text/plain", "topic, from and era must be numbers");
    }
    return makeResponse(okStatus, "application/msgpack", this->pages.encodedPage(static_cast<FeedTopic>(topic), { StoreEra(era), offset }));
}

void ControlServer::listen(const std::string &address)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(listenBacklog);
        this->servers.push_back(std::make_unique<RequestServer>(this->clock, *this, socket, serverSettings()));
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't listen on " + address + ": " + error.displayText());
    }
}

}
