#include <LibHttp/ResponseWriter.h>

#include <LibHttp/ErrorBody.h>

#include <Poco/Exception.h>

#include <algorithm>

namespace Lovageward {

ResponseWriter::ResponseWriter(Poco::Net::HTTPServerResponse &response, const Poco::Net::StreamSocket &connected, std::string requestId)
    : response(response), socket(connected), requestId(std::move(requestId))
{
    this->response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
}

ResponseWriter::ResponseWriter(Poco::Net::HTTPServerResponse &response,
                               const Poco::Net::StreamSocket &connected,
                               std::string requestId,
                               const Poco::Net::HTTPRequest &request)
    : ResponseWriter(response, connected, std::move(requestId))
{
    this->isHeadOnly = request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    this->canBeChunked = request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
}

void ResponseWriter::beginResponse(int status, const std::string &contentType, const HeaderFields &fields)
{
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    this->response.setContentType(contentType);
    this->response.set("X-Request-Id", this->requestId);
    this->response.setKeepAlive(!this->isLast);
    for (const auto &[name, value] : fields) {
        this->response.set(name.value(), value.value());
    }
    this->stream = &this->response.send();
    this->isBroken = !this->stream->good();
}

bool ResponseWriter::send(std::string_view bytes)
{
    if (!this->isBroken) {
        this->stream->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        this->stream->flush();
        this->isBroken = !this->stream->good();
    }
    return !this->isBroken;
}

void ResponseWriter::writeWhole(int status, const std::string &contentType, std::string_view body, const HeaderFields &fields)
{
    this->response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    this->beginResponse(status, contentType, fields);
    this->send(this->isHeadOnly ? std::string_view() : body);
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
    this->isStreaming = true;
    // A caller without chunks sees the end of the stream by the end of the connection.
    this->isLast = this->isLast || !this->canBeChunked;
    this->response.setChunkedTransferEncoding(this->canBeChunked);
    // Proxies on the way must not buffer the events.
    HeaderFields fields;
    fields.add("Cache-Control", "no-cache");
    fields.add("X-Accel-Buffering", "no");
    this->beginResponse(200, "text/event-stream; charset=utf-8", fields);
    return !this->isBroken;
}

bool ResponseWriter::writePart(std::string_view part)
{
    return this->send(part);
}

void ResponseWriter::endEventStream()
{
    this->isStreamEnded = !this->isBroken;
}

bool ResponseWriter::isCallerGone()
{
    if (this->isBroken) {
        return true;
    }
    try {
        char byte = 0;
        return this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && this->socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

bool ResponseWriter::finish()
{
    bool isComplete = this->stream != nullptr && !this->isBroken && (!this->isStreaming || this->isStreamEnded);
    if (!isComplete) {
        try {
            this->socket.shutdown();
        } catch (const Poco::Exception &) {
            // The caller has closed the connection already.
            return false;
        }
    }
    return isComplete && !this->isLast;
}

}
