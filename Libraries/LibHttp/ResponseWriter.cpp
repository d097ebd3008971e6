#include <LibHttp/ResponseWriter.h>

#include <LibHttp/ErrorBody.h>
#include <LibHttp1/HeadEncoder.h>

#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <algorithm>

namespace Lovageward {

ResponseWriter::ResponseWriter(ServerSession &session, std::string requestId) : session(session), requestId(std::move(requestId))
{
}

ResponseWriter::ResponseWriter(ServerSession &session, std::string requestId, const RequestHead &request) : ResponseWriter(session, std::move(requestId))
{
    this->isHeadOnly = request.method.value() == "HEAD";
    this->canBeChunked = request.version == HttpVersion::Http11;
}

bool ResponseWriter::begin(int status, HeaderFields fields, std::string_view body)
{
    using Poco::Net::HTTPResponse;
    this->isStarted = true;
    fields.add("X-Request-Id", this->requestId);
    if (this->isLast) {
        fields.add("Connection", "close");
    }
    ReasonPhrase reason(HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status)));
    auto bytes = encodeHead(ResponseHead { status, std::move(reason), std::move(fields) });
    return this->send(bytes.append(body));
}

bool ResponseWriter::send(std::string_view bytes)
{
    this->isBroken = this->isBroken || !this->session.write(bytes);
    return !this->isBroken;
}

void ResponseWriter::writeWhole(int status, const std::string &contentType, std::string_view body, const HeaderFields &fields)
{
    auto allFields = fields;
    allFields.add("Content-Type", contentType);
    allFields.add("Content-Length", std::to_string(body.size()));
    this->begin(status, std::move(allFields), this->isHeadOnly ? std::string_view() : body);
}

void ResponseWriter::writeError(const Error &error, const std::string &resumeId)
{
    HeaderFields fields;
    if (error.retryAfter() > Duration(0)) {
        auto delay = std::max(std::chrono::ceil<seconds>(error.retryAfter()), seconds(1));
        fields.add("Retry-After", std::to_string(delay.count()));
    }
    this->writeWhole(httpStatus(error.code()), "application/json", errorBody(error, this->requestId, resumeId), fields);
}

bool ResponseWriter::beginEventStream()
{
    constexpr int okStatus = 200;
    this->isStreaming = true;
    // A caller without chunks sees the end of the stream by the end of the connection.
    this->isLast = this->isLast || !this->canBeChunked;
    HeaderFields fields;
    fields.add("Content-Type", "text/event-stream; charset=utf-8");
    fields.add("Cache-Control", "no-cache");
    // Proxies on the way must not buffer the events.
    fields.add("X-Accel-Buffering", "no");
    if (this->canBeChunked) {
        fields.add("Transfer-Encoding", "chunked");
    }
    return this->begin(okStatus, std::move(fields), {});
}

bool ResponseWriter::writePart(std::string_view part)
{
    if (part.empty() || !this->canBeChunked) {
        return this->send(part);
    }
    return this->send(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
}

void ResponseWriter::endEventStream()
{
    this->isStreamEnded = !this->canBeChunked ? !this->isBroken : this->send("0\r\n\r\n");
}

bool ResponseWriter::isCallerGone()
{
    return this->isBroken || this->session.isClosedByPeer();
}

bool ResponseWriter::finish()
{
    bool isComplete = this->isStarted && !this->isBroken && (!this->isStreaming || this->isStreamEnded);
    if (!isComplete) {
        this->session.shutDown();
    }
    return isComplete && !this->isLast;
}

}
