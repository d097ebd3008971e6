#include <LibForward/ControlServer.h>

#include <LibCore/Error.h>
#include <LibForward/HttpPeerFeed.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int threadsPerAddress = 4;
constexpr int listenBacklog = 64;

/** Data sources of the request handlers. */
struct ControlSources
{
    const Readiness &readiness;
    const Counters &counters;
    FeedPageCache &pages;
    const std::string &readinessPath;
};

class ControlHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit ControlHandler(const ControlSources &sources) : sources(sources)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        Poco::URI uri(request.getURI());
        std::string body;
        if (uri.getPath() == this->sources.readinessPath) {
            auto report = this->sources.readiness.report();
            response.setStatusAndReason(report.isReady ? HTTPServerResponse::HTTP_OK : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
            body = report.message;
        } else if (uri.getPath() == "/metrics") {
            response.setContentType("text/plain; version=0.0.4");
            body = this->sources.counters.exposition();
        } else if (uri.getPath() == feedPagePath) {
            body = this->feedPage(uri, response);
        } else {
            response.setStatusAndReason(HTTPServerResponse::HTTP_NOT_FOUND);
        }
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

private:
    std::string feedPage(const Poco::URI &uri, HTTPServerResponse &response) const
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
            response.setStatusAndReason(HTTPServerResponse::HTTP_BAD_REQUEST);
            return "topic, from and era must be numbers";
        }
        response.setContentType("application/msgpack");
        return this->sources.pages.encodedPage(static_cast<FeedTopic>(topic), { StoreEra(era), offset });
    }

    ControlSources sources;
};

class ControlHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit ControlHandlerFactory(const ControlSources &sources) : sources(sources)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest & /*request*/) override
    {
        return new ControlHandler(this->sources);
    }

private:
    ControlSources sources;
};

}

ControlServer::ControlServer(const Readiness &readiness, const Counters &counters, FeedPageCache &pages, std::string readinessPath)
    : readiness(readiness), counters(counters), pages(pages), readinessPath(std::move(readinessPath))
{
}

ControlServer::~ControlServer()
{
    for (auto &server : this->servers) {
        server->stopAll(true);
    }
}

void ControlServer::listen(const std::string &address)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(listenBacklog);
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(threadsPerAddress);
        // An idle keep-alive connection would occupy one of the few threads.
        params->setKeepAlive(false);
        ControlSources sources { this->readiness, this->counters, this->pages, this->readinessPath };
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new ControlHandlerFactory(sources));
        this->servers.push_back(std::make_unique<Poco::Net::HTTPServer>(factory, socket, params));
        this->servers.back()->start();
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't listen on " + address + ": " + error.displayText());
    }
}

}
