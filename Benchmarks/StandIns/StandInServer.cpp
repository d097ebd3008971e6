#include "StandInServer.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

namespace Lovageward::StandIns {

namespace {

constexpr int maximumThreads = 1200;
constexpr int threadStackBytes = 128 * 1024;

class Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(Role &role) : role(role)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        Poco::URI uri(request.getURI());
        HttpExchange exchange { request, response, {}, uri.getQueryParameters() };
        uri.getPathSegments(exchange.path);
        try {
            this->role.handle(exchange);
        } catch (const Poco::Net::NetException &) {
            // The connection is closed, by the peer or as an injected fault, so no response can be sent.
        } catch (const std::exception &error) {
            if (!response.sent()) {
                exchange.respond(500, fmt::format("{{\"error\":\"{}\"}}", error.what()));
            }
        }
    }

private:
    Role &role;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(Role &role) : role(role)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new Handler(this->role);
    }

private:
    Role &role;
};

}

std::string HttpExchange::body() const
{
    std::string text;
    Poco::StreamCopier::copyToString(this->request.stream(), text);
    return text;
}

std::string HttpExchange::queryValue(const std::string &name, const std::string &fallback) const
{
    for (const auto &[key, value] : this->query) {
        if (key == name) {
            return value;
        }
    }
    return fallback;
}

void HttpExchange::respond(int status, const std::string &body, const std::string &contentType) const
{
    this->response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    this->response.setContentType(contentType);
    this->response.sendBuffer(body.data(), body.size());
}

StandInServer::StandInServer(Role &role, const std::string &listen) : threads(4, maximumThreads, 60, threadStackBytes)
{
    auto *parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(maximumThreads);
    parameters->setMaxQueued(maximumThreads);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    parameters->setMaxKeepAliveRequests(0);
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(listen), 1024);
    this->server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(role), this->threads, socket, parameters);
    this->server->start();
}

StandInServer::~StandInServer()
{
    this->server->stopAll(true);
}

std::uint16_t StandInServer::port() const
{
    return this->server->port();
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    if (text.empty()) {
        return new Poco::JSON::Object;
    }
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

}
