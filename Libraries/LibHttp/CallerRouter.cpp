#include <LibHttp/CallerRouter.h>

#include <LibHttp/ErrorBody.h>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <iterator>

namespace Lovageward {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
// A node that isn't ready is left out by the balancer within a few seconds.
constexpr Duration unreadyRetryAfter = seconds(2);

void requireMethod(const CallerRequest &request, const std::string &method)
{
    if (request.head.method.value() != method) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "the path needs the method " + method);
    }
}

std::string decodedSegment(const std::string &segment)
{
    try {
        std::string decoded;
        Poco::URI::decode(segment, decoded);
        return decoded;
    } catch (const Poco::Exception &) {
        throw Error(ResultCode::BadRequest, RunState::NotRun, "the path is not a valid URI");
    }
}

}

CallerRouter::CallerRouter(const CallerServerParts &parts, const CallerServerSettings &settings, const DrainSignal &drain)
    : parts(parts)
    , drain(drain)
    , logger(parts.logSink, "callers")
    , waiter(parts.clock)
    , completions(parts, settings, drain, this->waiter)
    , services(parts, settings, this->waiter)
{
}

void CallerRouter::handle(const CallerRequest &request, ResponseWriter &response)
{
    try {
        this->route(request, response);
    } catch (const Error &error) {
        this->refuse(error, response);
    } catch (const std::exception &error) {
        this->logger.error("request {} failed: {}", response.request(), error.what());
        this->refuse(Error(ResultCode::Internal, RunState::Unknown, "internal error"), response);
    }
}

void CallerRouter::refuse(const Error &error, ResponseWriter &response)
{
    this->parts.counters.counter(fmt::format("lovageward_refusals_total{{code=\"{}\"}}", resultName(error.code()))).add();
    if (response.hasStarted()) {
        // The bytes of a second head would look like a part of the answer; closing the connection shows that it is incomplete.
        response.closeAfterwards();
        return;
    }
    response.writeError(error);
}

void CallerRouter::route(const CallerRequest &request, ResponseWriter &response)
{
    const auto &uri = request.head.target.value();
    auto path = uri.substr(0, uri.find('?'));
    if (path == "/healthz") {
        response.writeWhole(200, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        this->answerReadiness(response);
    } else if (path == "/metrics") {
        response.writeWhole(200, "text/plain; version=0.0.4", this->parts.counters.exposition());
    } else if (path == "/v1/models") {
        requireMethod(request, "GET");
        this->authenticate(request);
        this->answerModels(response);
    } else {
        this->routeWork(request, path, response);
    }
}

void CallerRouter::routeWork(const CallerRequest &request, const std::string &path, ResponseWriter &response)
{
    bool isChat = path == "/v1/chat/completions";
    bool isService = path.starts_with(servicePrefix);
    if (!isChat && !isService && path != "/v1/completions") {
        throw Error(ResultCode::NotFound, RunState::NotRun, "no such path: " + path);
    }
    requireMethod(request, "POST");
    // A node that hasn't read the configuration knows no keys; it must not answer that a valid key is wrong.
    this->checkReadiness();
    auto team = this->authenticate(request);
    if (!isService) {
        this->completions.handle(isChat ? CompletionKind::Chat : CompletionKind::Plain, team, request, response);
        return;
    }
    this->services.handle(WorkClassId(decodedSegment(path.substr(servicePrefix.size()))), team, request, response);
}

Team CallerRouter::authenticate(const CallerRequest &request) const
{
    auto authorization = request.header("Authorization");
    if (authorization.starts_with(bearerPrefix)) {
        auto team = this->parts.configuration.teamByKey(std::string_view(authorization).substr(bearerPrefix.size()));
        if (team) {
            return *team;
        }
    }
    throw Error(ResultCode::Unauthenticated, RunState::NotRun, "the request needs a valid bearer key");
}

void CallerRouter::checkReadiness() const
{
    if (this->drain.hasBegun()) {
        throw Error(ResultCode::ShuttingDown, RunState::NotRun, "the node is shutting down", unreadyRetryAfter);
    }
    auto report = this->parts.readiness.report();
    if (!report.isReady) {
        throw Error(report.code, RunState::NotRun, report.message, unreadyRetryAfter);
    }
}

void CallerRouter::answerReadiness(ResponseWriter &response) const
{
    try {
        this->checkReadiness();
        response.writeWhole(200, "text/plain", "ready\n");
    } catch (const Error &error) {
        response.writeError(error);
    }
}

void CallerRouter::answerModels(ResponseWriter &response) const
{
    // The model field of a request names a work class, so the list shows the classes that generate.
    std::string entries;
    for (const auto &workClass : this->parts.configuration.workClasses()) {
        if (workClass.kind == CallKind::Generation) {
            fmt::format_to(std::back_inserter(entries),
                           R"({}{{"id":{},"object":"model","owned_by":"lovageward","root":{}}})",
                           entries.empty() ? "" : ",",
                           jsonText(workClass.id.value()),
                           jsonText(workClass.model.value()));
        }
    }
    response.writeWhole(200, "application/json", fmt::format(R"({{"object":"list","data":[{}]}})", entries));
}

}
