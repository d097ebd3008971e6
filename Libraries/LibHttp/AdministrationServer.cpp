#include <LibHttp/AdministrationServer.h>

#include <LibCore/Error.h>
#include <LibCore/EventThrottle.h>
#include <LibHttp/Listener.h>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr int listenBacklog = 64;

std::string bearerKeyOf(const RequestHead &head)
{
    const auto &header = head.fields.get("Authorization");
    return header.starts_with(bearerPrefix) ? header.substr(bearerPrefix.size()) : std::string();
}

/** Translates between HTTP and the administration API. */
class AdministrationHandler final : public RequestHandler
{
public:
    AdministrationHandler(AdministrationApi &api, const Clock &clock, LogSink &sink, Counters &counters)
        : api(api), logger(sink, "administration"), releasedCounter(counters.counter("lovageward_administration_connections_released_total")), releases(clock)
    {
    }

    bool acceptsBody(const RequestHead &head) override
    {
        return this->api.isKnownKey(bearerKeyOf(head));
    }

    ServedResponse handle(const RequestHead &head, const std::string &body) override
    {
        try {
            AdministrationRequest request;
            Poco::URI uri(head.target.value());
            request.method = head.method.value();
            request.path = uri.getPath();
            for (const auto &[name, value] : uri.getQueryParameters()) {
                request.query[name] = value;
            }
            request.bearerKey = bearerKeyOf(head);
            request.body = body;
            auto response = this->api.handle(request);
            return makeResponse(response.status, response.body);
        } catch (const Error &error) {
            return this->handleError(error);
        } catch (const Poco::Exception &error) {
            return this->handleError(Error(ResultCode::BadRequest, RunState::NotRun, error.displayText()));
        }
    }

    ServedResponse handleError(const Error &error) override
    {
        return makeResponse(httpStatus(error.code()), toText(errorJson(error.code(), RunState::NotRun, error.what())));
    }

    void connectionReleased(ClientWait /*wait*/, std::size_t open) override
    {
        this->releasedCounter.add();
        if (auto count = this->releases.count()) {
            this->logger.warning("Closed {} connections that kept the server waiting, for new ones; {} are open.", *count, open);
        }
    }

private:
    static ServedResponse makeResponse(int status, const std::string &body)
    {
        ServedResponse response { status, {}, body };
        response.fields.add("Content-Type", "application/json");
        response.fields.add("Cache-Control", "no-store");
        return response;
    }

    AdministrationApi &api;
    Logger logger;
    Counter &releasedCounter;
    EventThrottle releases;
};

RequestServerSettings serverSettings(const AdministrationSettings &settings)
{
    RequestServerSettings result;
    result.maximumThreads = settings.maximumThreads;
    result.maximumConnections = settings.maximumConnections;
    result.requestTimeout = settings.connectionTimeout;
    result.idleTimeout = settings.connectionTimeout;
    result.limits.bodyBytes = settings.maximumBody;
    return result;
}

}

AdministrationServer::AdministrationServer(const AdministrationSettings &settings,
                                           const Clock &clock,
                                           MemoryAccount &memory,
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
    this->handler = std::make_unique<AdministrationHandler>(this->api, clock, sink, counters);
    auto listener = openListener(fmt::format("{}:{}", settings.address, settings.port), listenBacklog);
    this->server = std::make_unique<RequestServer>(clock, memory, *this->handler, listener, serverSettings(settings));
}

AdministrationServer::~AdministrationServer() = default;

std::uint16_t AdministrationServer::port() const
{
    return this->server->port();
}

}
