#include <LibHttp/CallerRouter.h>

#include <LibHttp/ErrorBody.h>

#include <Poco/Exception.h>

namespace Lovageward {

CallerRouter::CallerRouter(const CallerServerParts &parts, const DrainSignal &drain) : parts(parts), drain(drain), logger(parts.logSink, "callers")
{
}

void CallerRouter::handle(const CallerRequest &request, ResponseWriter &response)
{
    try {
        this->route(request, response);
    } catch (const Error &error) {
        response.writeError(error);
    } catch (const std::exception &error) {
        this->logger.error("request {} failed: {}", response.request(), error.what());
        response.writeError(Error(ResultCode::Internal, RunState::Unknown, "internal error"));
    }
}

void CallerRouter::route(const CallerRequest &request, ResponseWriter &response)
{
    const auto &path = request.head.getURI();
    if (path == "/healthz") {
        response.writeWhole(200, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        this->answerReadiness(response);
    } else if (path == "/metrics") {
        response.writeWhole(200, "text/plain; version=0.0.4", this->parts.counters.exposition());
    } else {
        throw Error(ResultCode::NotFound, RunState::NotRun, "no such path: " + path);
    }
}

void CallerRouter::answerReadiness(ResponseWriter &response) const
{
    if (this->drain.hasBegun()) {
        response.writeError(Error(ResultCode::ShuttingDown, RunState::NotRun, "the node is shutting down"));
        return;
    }
    auto report = this->parts.readiness.report();
    if (!report.isReady) {
        response.writeError(Error(report.code, RunState::NotRun, report.message));
        return;
    }
    response.writeWhole(200, "text/plain", "ready\n");
}

}
