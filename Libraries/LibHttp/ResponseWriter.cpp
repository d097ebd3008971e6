#include <LibHttp/ResponseWriter.h>

#include <LibHttp/ErrorBody.h>

#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace Lovageward {

ResponseWriter::ResponseWriter(HttpConnection &connection, const Clock &clock, Duration sendTimeout, std::string requestId)
    : connection(connection), clock(clock), sendTimeout(sendTimeout), requestId(std::move(requestId))
{
}

bool ResponseWriter::send(std::string_view bytes)
{
    this->isStarted = true;
    if (!this->isBroken && !this->connection.write(bytes, this->clock.now() + this->sendTimeout)) {
        this->isBroken = true;
    }
    return !this->isBroken;
}

std::string ResponseWriter::head(int status, const std::string &contentType, const HeaderFields &fields) const
{
    const auto &reason = Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    auto text = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nX-Request-Id: {}\r\nConnection: {}\r\n",
                            status,
                            reason,
                            contentType,
                            this->requestId,
                            this->isLast ? "close" : "keep-alive");
    for (const auto &[name, value] : fields) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name, value);
    }
    return text;
}

void ResponseWriter::writeWhole(int status, const std::string &contentType, std::string_view body, const HeaderFields &fields)
{
    auto message = this->head(status, contentType, fields);
    fmt::format_to(std::back_inserter(message), "Content-Length: {}\r\n\r\n{}", body.size(), body);
    this->send(message);
}

void ResponseWriter::writeError(const Error &error, const std::string &resumeId)
{
    HeaderFields fields;
    if (error.retryAfter() > Duration(0)) {
        auto delay = std::max(std::chrono::ceil<seconds>(error.retryAfter()), seconds(1));
        fields.emplace_back("Retry-After", std::to_string(delay.count()));
    }
    this->writeWhole(httpStatus(error.code()), "application/json", errorBody(error, this->requestId, resumeId), fields);
}

bool ResponseWriter::beginEventStream()
{
    this->isStreaming = true;
    // Proxies on the way must not buffer the events.
    HeaderFields fields { { "Cache-Control", "no-cache" }, { "X-Accel-Buffering", "no" }, { "Transfer-Encoding", "chunked" } };
    return this->send(this->head(200, "text/event-stream; charset=utf-8", fields) + "\r\n");
}

bool ResponseWriter::writePart(std::string_view part)
{
    return this->send(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
}

void ResponseWriter::endEventStream()
{
    this->isStreamEnded = this->send("0\r\n\r\n");
}

bool ResponseWriter::isCallerGone()
{
    return this->isBroken || this->connection.isClosedByPeer();
}

}
