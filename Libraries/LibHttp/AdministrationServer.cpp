#include <LibHttp/AdministrationServer.h>

#include <LibCore/Error.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

namespace Lovageward {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr int listenBacklog = 64;
// A client that is still sending when the connection closes loses the answer, so the rest of a body is read up to this length.
constexpr std::size_t maximumDiscarded = std::size_t(1024) * 1024;

std::string bearerKeyOf(const HTTPServerRequest &request)
{
    auto header = request.get("Authorization", "");
    return header.starts_with(bearerPrefix) ? header.substr(bearerPrefix.size()) : std::string();
}

/** Reads at most `maximumBytes`. Throws Error(BodyTooLarge). */
std::string readBody(HTTPServerRequest &request, std::size_t maximumBytes)
{
    std::string body(maximumBytes + 1, '\0');
    request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
    auto length = static_cast<std::size_t>(request.stream().gcount());
    if (length > maximumBytes) {
        throw Error(ResultCode::BodyTooLarge, RunState::NotRun, fmt::format("the body is longer than {} bytes", maximumBytes));
    }
    body.resize(length);
    return body;
}

void discardBody(HTTPServerRequest &request)
{
    request.stream().clear();
    request.stream().ignore(static_cast<std::streamsize>(maximumDiscarded));
}

AdministrationRequest toAdministrationRequest(HTTPServerRequest &request, const AdministrationApi &api, std::size_t maximumBody)
{
    AdministrationRequest result;
    Poco::URI uri(request.getURI());
    result.method = request.getMethod();
    result.path = uri.getPath();
    for (const auto &[name, value] : uri.getQueryParameters()) {
        result.query[name] = value;
    }
    result.bearerKey = bearerKeyOf(request);
    if (api.isKnownKey(result.bearerKey)) {
        result.body = readBody(request, maximumBody);
    }
    return result;
}

class AdministrationHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    AdministrationHandler(AdministrationApi &api, std::size_t maximumBody) : api(api), maximumBody(maximumBody)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        auto result = this->answerTo(request);
        if (result.status != HTTPServerResponse::HTTP_OK) {
            discardBody(request);
            // What is left of a longer body would be taken for the next request.
            response.setKeepAlive(false);
        }
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(result.status));
        response.setContentType("application/json");
        response.set("Cache-Control", "no-store");
        response.sendBuffer(result.body.data(), result.body.size());
    }

private:
    AdministrationResponse answerTo(HTTPServerRequest &request)
    {
        try {
            return this->api.handle(toAdministrationRequest(request, this->api, this->maximumBody));
        } catch (const Error &error) {
            return failure(error.code(), error.what());
        } catch (const Poco::Exception &error) {
            return failure(ResultCode::BadRequest, error.displayText());
        }
    }

    static AdministrationResponse failure(ResultCode code, const std::string &message)
    {
        return AdministrationResponse { httpStatus(code), toText(errorJson(code, RunState::NotRun, message)) };
    }

    AdministrationApi &api;
    std::size_t maximumBody;
};

class AdministrationHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    AdministrationHandlerFactory(AdministrationApi &api, std::size_t maximumBody) : api(api), maximumBody(maximumBody)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest & /*request*/) override
    {
        return new AdministrationHandler(this->api, this->maximumBody);
    }

private:
    AdministrationApi &api;
    std::size_t maximumBody;
};

Poco::Net::HTTPServerParams::Ptr serverParameters(const AdministrationSettings &settings)
{
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    Poco::Timespan timeout(static_cast<Poco::Timespan::TimeDiff>(settings.connectionTimeout.count()));
    parameters->setTimeout(timeout);
    parameters->setKeepAliveTimeout(timeout);
    parameters->setMaxThreads(settings.maximumThreads);
    parameters->setMaxQueued(settings.maximumWaiting);
    return parameters;
}

Poco::Net::ServerSocket listen(const AdministrationSettings &settings)
{
    try {
        return Poco::Net::ServerSocket(Poco::Net::SocketAddress(settings.address, settings.port), listenBacklog);
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings,
                    RunState::NotRun,
                    fmt::format("the administration API can't listen on {}:{}: {}", settings.address, settings.port, error.displayText()));
    }
}

}

AdministrationServer::AdministrationServer(const AdministrationSettings &settings,
                                           const Clock &clock,
                                           RandomSource &random,
                                           LogSink &sink,
                                           Counters &counters,
                                           ConfigStore &store,
                                           const AuditTrail &auditTrail,
                                           const Membership &membership,
                                           const UpstreamTable &upstreams,
                                           OrderDesk *orderDesk)
    : api(AdministrationKeys(settings.keys), settings.changeTimeout, clock, random, sink, counters, store, auditTrail, membership, upstreams, orderDesk)
{
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new AdministrationHandlerFactory(this->api, settings.maximumBody));
    this->server = std::make_unique<Poco::Net::HTTPServer>(factory, this->threads, listen(settings), serverParameters(settings));
    this->server->start();
}

AdministrationServer::~AdministrationServer()
{
    // Waits for running requests; each of them is bounded by the timeouts.
    this->server->stopAll(false);
    this->threads.joinAll();
}

std::uint16_t AdministrationServer::port() const
{
    return this->server->port();
}

}
