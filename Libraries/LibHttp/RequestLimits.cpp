#include <LibHttp/RequestLimits.h>

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <charconv>

namespace Lovageward {

namespace {

[[noreturn]] void refuse(ResultCode code, const std::string &message)
{
    throw Error(code, RunState::NotRun, message);
}

void checkHeadSize(const Poco::Net::HTTPRequest &head, const CallerServerSettings &settings)
{
    if (head.size() > settings.maximumHeaderFields) {
        refuse(ResultCode::HeadersTooLarge, fmt::format("the request has more than {} header fields", settings.maximumHeaderFields));
    }
    // A field also has a colon, a space and a line end.
    constexpr std::size_t separators = 4;
    auto size = head.getMethod().size() + head.getURI().size() + head.getVersion().size() + separators;
    for (const auto &[name, value] : head) {
        size += name.size() + value.size() + separators;
    }
    if (size > settings.maximumHeaderBytes) {
        refuse(ResultCode::HeadersTooLarge, fmt::format("the request head is larger than {} bytes", settings.maximumHeaderBytes));
    }
}

}

std::size_t checkRequestHead(const Poco::Net::HTTPRequest &head, const CallerServerSettings &settings)
{
    checkHeadSize(head, settings);
    if (head.has("Transfer-Encoding")) {
        refuse(ResultCode::BadRequest, "chunked requests are not accepted; send Content-Length");
    }
    if (!head.has("Content-Length")) {
        return 0;
    }
    const auto &text = head.get("Content-Length");
    std::size_t length = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error == std::errc::result_out_of_range || (error == std::errc() && length > settings.maximumBodyBytes)) {
        refuse(ResultCode::BodyTooLarge, fmt::format("the body is larger than {} bytes", settings.maximumBodyBytes));
    }
    if (error != std::errc() || end != text.data() + text.size()) {
        refuse(ResultCode::BadRequest, "Content-Length is not a number");
    }
    return length;
}

Error headRefusal(const Poco::Exception &error)
{
    // POCO tells an exceeded limit from other faults only by the text of the exception.
    const auto &text = error.message();
    bool isTooLarge = text.find("Field") != std::string::npos || text.find("Too many header fields") != std::string::npos;
    auto code = isTooLarge ? ResultCode::HeadersTooLarge : ResultCode::BadRequest;
    return Error(code, RunState::NotRun, "the request head can't be read: " + error.displayText());
}

Error slowSenderRefusal(const CallerServerSettings &settings)
{
    auto limit = std::chrono::duration_cast<milliseconds>(settings.slowSenderTimeout).count();
    return Error(ResultCode::RequestTooSlow, RunState::NotRun, fmt::format("the request did not arrive within {} ms", limit));
}

}
