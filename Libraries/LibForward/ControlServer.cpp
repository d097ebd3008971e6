#include <LibForward/ControlServer.h>

#include <LibCore/Error.h>
#include <LibForward/HttpPeerFeed.h>
#include <LibHttp/ErrorBody.h>
#include <LibHttp/Listener.h>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

constexpr int listenBacklog = 64;

/** The responses take no time but that of the processor. */
constexpr int handlerThreads = 1;

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
    // The connections of these addresses count toward the descriptors of the node itself (GatewaySettings).
    settings.maximumConnections = ControlServer::maximumConnections;
    settings.maximumThreads = handlerThreads;
    settings.keepsConnections = false;
    return settings;
}

}

ControlServer::ControlServer(const ControlDependencies &dependencies, std::string readinessPath)
    : dependencies(dependencies), readinessPath(std::move(readinessPath)), releases(dependencies.clock)
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
            auto report = this->dependencies.readiness.report();
            return makeResponse(report.isReady ? okStatus : unavailableStatus, "text/plain", report.message);
        }
        if (uri.getPath() == "/metrics") {
            return makeResponse(okStatus, "text/plain; version=0.0.4", this->dependencies.counters.exposition());
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

void ControlServer::connectionReleased(ClientWait wait, std::size_t open)
{
    this->dependencies.counters.counter("lovageward_control_connections_released_total").add();
    if (auto count = this->releases.count()) {
        this->dependencies.events.write(
            "control_connection_released",
            { { "reason", "a new connection needs its place" }, { "idle", wait == ClientWait::Idle }, { "open", open }, { "released", *count } });
    }
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
    return makeResponse(okStatus, "application/msgpack", this->dependencies.pages.encodedPage(static_cast<FeedTopic>(topic), { StoreEra(era), offset }));
}

void ControlServer::listen(const std::string &address)
{
    this->servers.push_back(
        std::make_unique<RequestServer>(this->dependencies.clock, this->dependencies.memory, *this, openListener(address, listenBacklog), serverSettings()));
}

}
