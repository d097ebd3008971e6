#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

namespace Lovageward {

/** What every stream of the engine sends. */
struct Pace
{
    std::atomic<int> tokens = 1;
    /** Pause before each token, in milliseconds. */
    std::atomic<int> gap = 0;
};

class PacedHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit PacedHandler(const Pace &pace) : pace(pace)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        auto id = request.get("X-Request-Id", "request");
        auto generation = request.get("X-Generation-Id", "generation");
        response.setChunkedTransferEncoding(true);
        response.setContentType("text/event-stream");
        auto &output = response.send();
        for (int offset = 0; offset < this->pace.tokens; ++offset) {
            if (this->pace.gap > 0) {
                output.flush();
                std::this_thread::sleep_for(std::chrono::milliseconds(this->pace.gap));
            }
            output << fmt::format("id: {0}/{1}\ndata: {{\"request_id\":\"{2}\",\"generation_id\":\"{0}\",\"offset\":{1},"
                                  "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word \"}}}}]}}\n\n",
                                  generation,
                                  offset,
                                  id)
                   << std::flush;
        }
        output << "data: [DONE]\n\n" << std::flush;
    }

private:
    const Pace &pace;
};

class PacedFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit PacedFactory(const Pace &pace) : pace(pace)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new PacedHandler(this->pace);
    }

private:
    const Pace &pace;
};

/** An engine within the bench process that sends tokens at a fixed pace. */
class PacedEngine
{
public:
    PacedEngine() : threads(2, maximumStreams, 60, stackBytes), socket(Poco::Net::SocketAddress("127.0.0.1", 0), backlog)
    {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(maximumStreams);
        params->setMaxQueued(maximumStreams);
        this->server = std::make_unique<Poco::Net::HTTPServer>(new PacedFactory(this->pace), this->threads, this->socket, params);
        this->server->start();
    }

    ~PacedEngine()
    {
        this->server->stopAll(true);
        this->threads.joinAll();
    }

    PacedEngine(const PacedEngine &) = delete;
    PacedEngine &operator=(const PacedEngine &) = delete;

    std::uint16_t port() const
    {
        return this->socket.address().port();
    }

    Pace pace;

private:
    static constexpr int maximumStreams = 1200;
    static constexpr int stackBytes = 131'072;
    static constexpr int backlog = 512;

    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

}
