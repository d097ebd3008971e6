#pragma once

#include <Poco/Event.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <ostream>
#include <set>
#include <string>

namespace Lovageward {

/** Behaviour of the stand-in upstream; set before the request it applies to. */
struct UpstreamBehaviour
{
    int tokens = 5;
    /** Tokens after which a connection breaks, or -1. */
    std::atomic<int> breakAfter = -1;
    /** Tokens after which a started stream waits until `proceed` is set, or -1. */
    std::atomic<int> pauseAfter = -1;
    Poco::Event proceed { Poco::Event::EVENT_MANUALRESET };
    std::atomic<int> status = 200;
    std::atomic<bool> crossesRequestIds = false;
    std::atomic<bool> omitsRequestIds = false;
    std::atomic<int> started = 0;
    std::atomic<int> calls = 0;
    std::atomic<int> cancelled = 0;
    std::mutex mutex;
    /** Request id of the running generation; the stand-in keeps one. */
    std::string request;
    std::string generation;
    std::string lastBody;
    std::set<std::string> peers;
};

/** Engine and plain service of the protocols in docs/design.md, section 7, built on POCO's own HTTP server. */
class StandInHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit StandInHandler(UpstreamBehaviour &behaviour) : behaviour(behaviour)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        auto id = request.get("X-Request-Id", "");
        {
            std::lock_guard<std::mutex> guard(this->behaviour.mutex);
            this->behaviour.lastBody = body;
            this->behaviour.peers.insert(request.clientAddress().toString());
        }
        if (!this->behaviour.omitsRequestIds && !id.empty()) {
            response.set("X-Request-Id", this->behaviour.crossesRequestIds ? "other" : id);
        }
        auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(this->behaviour.status.load());
        const auto &uri = request.getURI();
        if (request.getMethod() == "DELETE") {
            ++this->behaviour.cancelled;
            this->answer(response, Poco::Net::HTTPResponse::HTTP_OK, "{}");
        } else if (status != Poco::Net::HTTPResponse::HTTP_OK) {
            this->answer(response, status, "{\"error\":\"status\"}");
        } else if (uri.starts_with("/call/")) {
            ++this->behaviour.calls;
            this->answer(response, status, fmt::format("{{\"operation\":\"{}\"}}", uri.substr(6)));
        } else if (request.getMethod() == "POST") {
            ++this->behaviour.started;
            std::lock_guard<std::mutex> guard(this->behaviour.mutex);
            this->behaviour.request = id;
            this->behaviour.generation = request.get("X-Generation-Id", "");
        }
        if (uri.starts_with("/call/") || request.getMethod() == "DELETE" || status != Poco::Net::HTTPResponse::HTTP_OK) {
            return;
        }
        auto from = uri.find("from=");
        this->stream(response, from == std::string::npos ? 0 : std::stoi(uri.substr(from + 5)));
    }

private:
    void answer(Poco::Net::HTTPServerResponse &response, Poco::Net::HTTPResponse::HTTPStatus status, const std::string &body)
    {
        response.setStatusAndReason(status);
        response.setContentType("application/json");
        response.sendBuffer(body.data(), body.size());
    }

    void stream(Poco::Net::HTTPServerResponse &response, int from)
    {
        std::unique_lock<std::mutex> guard(this->behaviour.mutex);
        auto request = this->behaviour.request;
        auto generation = this->behaviour.generation;
        guard.unlock();
        response.setChunkedTransferEncoding(true);
        response.setContentType("text/event-stream");
        auto &output = response.send();
        for (int offset = from; offset < this->behaviour.tokens; ++offset) {
            if (offset == this->behaviour.pauseAfter) {
                output.flush();
                this->behaviour.proceed.wait();
            }
            if (offset == this->behaviour.breakAfter) {
                this->behaviour.breakAfter = -1;
                output.flush();
                // Without the last chunk the client sees a broken response.
                throw Poco::RuntimeException("the connection breaks here");
            }
            output << fmt::format("id: {0}/{1}\ndata: {{\"request_id\":\"{2}\",\"generation_id\":\"{0}\",\"offset\":{1},"
                                  "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{1} \"}}}}]}}\n\n",
                                  generation,
                                  offset,
                                  request)
                   << std::flush;
        }
        output << "data: [DONE]\n\n" << std::flush;
    }

    UpstreamBehaviour &behaviour;
};

class StandInFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit StandInFactory(UpstreamBehaviour &behaviour) : behaviour(behaviour)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new StandInHandler(this->behaviour);
    }

private:
    UpstreamBehaviour &behaviour;
};

/** The stand-in, listening on a port that the kernel chooses. */
class StandInUpstream
{
public:
    StandInUpstream() : socket(Poco::Net::SocketAddress("127.0.0.1", 0)), server(new StandInFactory(behaviour), socket, new Poco::Net::HTTPServerParams)
    {
        this->server.start();
    }

    ~StandInUpstream()
    {
        this->behaviour.proceed.set();
        this->server.stopAll(true);
    }

    StandInUpstream(const StandInUpstream &) = delete;
    StandInUpstream &operator=(const StandInUpstream &) = delete;

    std::string address() const
    {
        return this->socket.address().toString();
    }

    UpstreamBehaviour behaviour;

private:
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer server;
};

}
