#include <LibHttp/RequestReader.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace Lovageward {

namespace {

[[noreturn]] void refuse(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::NotRun, message);
}

[[noreturn]] void refuseSlowSender(const CallerServerSettings &settings)
{
    auto limit = std::chrono::duration_cast<milliseconds>(settings.slowSenderTimeout).count();
    refuse(ResultCode::RequestTooSlow, fmt::format("the request did not arrive within {} ms", limit));
}

}

bool RequestReader::read(HttpConnection &connection, CallerRequest &request) const
{
    // One deadline covers the whole request, so a sender can't extend it by sending a byte from time to time.
    request.arrivedAt = this->clock.now();
    auto deadline = request.arrivedAt + this->settings.slowSenderTimeout;
    return this->readHead(connection, request, deadline) && this->readBody(connection, request, deadline);
}

bool RequestReader::readHead(HttpConnection &connection, CallerRequest &request, TimePoint deadline) const
{
    std::string head;
    switch (connection.readHead(head, this->settings.maximumHeaderBytes, deadline)) {
    case ReadStatus::Ready:
        break;
    case ReadStatus::TooLarge:
        refuse(ResultCode::HeadersTooLarge, fmt::format("the request head is larger than {} bytes", this->settings.maximumHeaderBytes));
    case ReadStatus::TimedOut:
        refuseSlowSender(this->settings);
    default:
        return false;
    }
    auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
    // The request line and the empty line are not fields.
    if (lines > this->settings.maximumHeaderFields + 2) {
        refuse(ResultCode::HeadersTooLarge, fmt::format("the request has more than {} header fields", this->settings.maximumHeaderFields));
    }
    try {
        std::istringstream stream(head);
        request.head.read(stream);
    } catch (const Poco::Exception &error) {
        refuse(ResultCode::BadRequest, "the request head is malformed: " + error.displayText());
    }
    return true;
}

std::size_t RequestReader::bodyLength(const CallerRequest &request) const
{
    if (request.head.has("Transfer-Encoding")) {
        refuse(ResultCode::BadRequest, "chunked requests are not accepted; send Content-Length");
    }
    if (!request.head.has("Content-Length")) {
        return 0;
    }
    auto text = request.header("Content-Length");
    std::size_t length = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error == std::errc::result_out_of_range) {
        refuse(ResultCode::BodyTooLarge, fmt::format("the body is larger than {} bytes", this->settings.maximumBodyBytes));
    }
    if (error != std::errc() || end != text.data() + text.size()) {
        refuse(ResultCode::BadRequest, "Content-Length is not a number");
    }
    if (length > this->settings.maximumBodyBytes) {
        refuse(ResultCode::BodyTooLarge, fmt::format("the body is larger than {} bytes", this->settings.maximumBodyBytes));
    }
    return length;
}

bool RequestReader::readBody(HttpConnection &connection, CallerRequest &request, TimePoint deadline) const
{
    auto length = this->bodyLength(request);
    if (length > 0 && request.header("Expect") == "100-continue" && !connection.write("HTTP/1.1 100 Continue\r\n\r\n", deadline)) {
        return false;
    }
    while (request.body.size() < length) {
        auto status = connection.readSome(request.body, length - request.body.size(), deadline);
        if (status == ReadStatus::TimedOut) {
            refuseSlowSender(this->settings);
        }
        if (status != ReadStatus::Ready) {
            return false;
        }
    }
    return true;
}

}
