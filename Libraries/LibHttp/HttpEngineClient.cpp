#include <LibHttp/HttpEngineClient.h>

#include <LibCore/Error.h>
#include <LibHttp/HttpEngineStream.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Error texts of engines are passed on to callers up to this size.
constexpr std::size_t maximumErrorBytes = 4096;

std::string generationPath(const GenerationId &generation)
{
    return "/v1/generations/" + generation.value();
}

}

std::unique_ptr<EngineStream> HttpEngineClient::start(const std::string &address, const GenerationRequest &request, TimePoint deadline)
{
    HTTPRequest head(HTTPRequest::HTTP_POST, request.path, HTTPRequest::HTTP_1_1);
    head.set("X-Request-Id", request.request.value());
    head.set("X-Generation-Id", request.generation.value());
    head.set("X-Priority", std::to_string(request.priority));
    auto response = this->exchange.send(address, head, request.body, false, deadline);
    if (response.head.getStatus() != HTTPResponse::HTTP_OK) {
        this->rejectStatus(address, response, deadline);
    }
    return this->openStream(address, request.generation, TokenOffset(0), std::move(response));
}

void HttpEngineClient::rejectStatus(const std::string &address, UpstreamResponse &response, TimePoint deadline)
{
    int status = response.head.getStatus();
    bool isRefusal = status == HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    bool isOurs = response.isNewConnection || response.head.has("X-Request-Id");
    if (isRefusal && isOurs) {
        throw Error(ResultCode::UpstreamRefused, RunState::NotRun, fmt::format("{} refused the request with status {}", address, status), seconds(1));
    }
    auto body = this->exchange.readBody(address, response, maximumErrorBytes, deadline);
    // Statuses 400, 413 and 422 blame the request, so another engine would say the same.
    bool blamesRequest
        = status == HTTPResponse::HTTP_BAD_REQUEST || status == HTTPResponse::HTTP_REQUESTENTITYTOOLARGE || status == HTTPResponse::HTTP_UNPROCESSABLE_ENTITY;
    auto code = blamesRequest ? ResultCode::BadRequest : ResultCode::UpstreamError;
    throw Error(code, RunState::Unknown, fmt::format("the engine answered with status {}: {}", status, body));
}

std::unique_ptr<EngineStream> HttpEngineClient::resume(const std::string &address, const GenerationId &generation, TokenOffset from, TimePoint deadline)
{
    HTTPRequest head(HTTPRequest::HTTP_GET, fmt::format("{}?from={}", generationPath(generation), from.value()), HTTPRequest::HTTP_1_1);
    // The reason for a resume is often a path that went silent, which pooled connections share.
    auto response = this->exchange.send(address, head, {}, true, deadline);
    int status = response.head.getStatus();
    if (status == HTTPResponse::HTTP_NOT_FOUND || status == HTTPResponse::HTTP_GONE) {
        throw Error(ResultCode::GenerationLost, RunState::Unknown, address + " doesn't know the generation");
    }
    if (status != HTTPResponse::HTTP_OK) {
        throw Error(ResultCode::UpstreamError, RunState::Unknown, fmt::format("{} answered a resume with status {}", address, status));
    }
    return this->openStream(address, generation, from, std::move(response));
}

std::unique_ptr<EngineStream>
HttpEngineClient::openStream(const std::string &address, const GenerationId &generation, TokenOffset from, UpstreamResponse response)
{
    auto answered = response.head.get("X-Generation-Id", generation.value());
    if (answered != generation.value()) {
        this->exchange.rejectMismatch(address, address + " answered with another generation");
    }
    return std::make_unique<HttpEngineStream>(this->clock, this->exchange, address, generation, from, std::move(response));
}

void HttpEngineClient::cancel(const std::string &address, const GenerationId &generation, TimePoint deadline)
{
    HTTPRequest head(HTTPRequest::HTTP_DELETE, generationPath(generation), HTTPRequest::HTTP_1_1);
    try {
        this->exchange.send(address, head, {}, true, deadline);
    } catch (const Error &) {
        // The engine may be gone, and a generation without a reader ends by itself.
        return;
    }
}

}
