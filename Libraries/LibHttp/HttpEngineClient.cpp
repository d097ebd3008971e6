#include <LibHttp/HttpEngineClient.h>

#include <LibCore/Error.h>
#include <LibHttp/HttpEngineStream.h>

#include <fmt/format.h>

namespace Lovageward {

namespace {

constexpr int okStatus = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int bodyTooLarge = 413;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;

// Error texts of engines are passed on to callers up to this size.
constexpr std::size_t maximumErrorBytes = 4096;

std::string generationPath(const GenerationId &generation)
{
    return "/v1/generations/" + generation.value();
}

}

std::unique_ptr<EngineStream> HttpEngineClient::start(const std::string &address, const GenerationRequest &request, TimePoint deadline)
{
    RequestHead head { Method("POST"), RequestTarget(request.path), {} };
    head.fields.add("X-Request-Id", request.request.value());
    head.fields.add("X-Generation-Id", request.generation.value());
    head.fields.add("X-Priority", std::to_string(request.priority));
    auto response = this->exchange.send(address, std::move(head), request.body, false, deadline);
    if (response.head.status != okStatus) {
        this->rejectStatus(address, response, deadline);
    }
    return this->openStream(address, request.generation, TokenOffset(0), std::move(response));
}

void HttpEngineClient::rejectStatus(const std::string &address, UpstreamResponse &response, TimePoint deadline)
{
    int status = response.head.status;
    bool isRefusal = status == tooManyRequests || status == unavailable;
    bool isOurs = response.isNewConnection || response.head.fields.has("X-Request-Id");
    if (isRefusal && isOurs) {
        throw Error(ResultCode::UpstreamRefused, RunState::NotRun, fmt::format("{} refused the request with status {}", address, status), seconds(1));
    }
    auto body = this->exchange.readBody(address, response, maximumErrorBytes, deadline);
    // Statuses 400, 413 and 422 blame the request, so another engine would say the same.
    bool blamesRequest = status == badRequest || status == bodyTooLarge || status == unprocessable;
    auto code = blamesRequest ? ResultCode::BadRequest : ResultCode::UpstreamError;
    throw Error(code, RunState::Unknown, fmt::format("the engine answered with status {}: {}", status, body));
}

std::unique_ptr<EngineStream> HttpEngineClient::resume(const std::string &address, const GenerationId &generation, TokenOffset from, TimePoint deadline)
{
    RequestHead head { Method("GET"), RequestTarget(fmt::format("{}?from={}", generationPath(generation), from.value())), {} };
    // The reason for a resume is often a path that went silent, which pooled connections share.
    auto response = this->exchange.send(address, std::move(head), {}, true, deadline);
    int status = response.head.status;
    if (status == notFound || status == gone) {
        throw Error(ResultCode::GenerationLost, RunState::Unknown, address + " doesn't know the generation");
    }
    if (status != okStatus) {
        throw Error(ResultCode::UpstreamError, RunState::Unknown, fmt::format("{} answered a resume with status {}", address, status));
    }
    return this->openStream(address, generation, from, std::move(response));
}

std::unique_ptr<EngineStream>
HttpEngineClient::openStream(const std::string &address, const GenerationId &generation, TokenOffset from, UpstreamResponse response)
{
    const auto &answered = response.head.fields.get("X-Generation-Id");
    if (!answered.empty() && answered != generation.value()) {
        this->exchange.rejectMismatch(address, address + " answered with another generation");
    }
    return std::make_unique<HttpEngineStream>(this->clock, this->exchange, address, generation, from, std::move(response));
}

void HttpEngineClient::cancel(const std::string &address, const GenerationId &generation, TimePoint deadline)
{
    RequestHead head { Method("DELETE"), RequestTarget(generationPath(generation)), {} };
    try {
        this->exchange.send(address, std::move(head), {}, true, deadline);
    } catch (const Error &) {
        // The engine may be gone, and a generation without a reader ends by itself.
        return;
    }
}

}
