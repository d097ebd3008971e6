#include <LibForward/HttpHeads.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace Lovageward {

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";

/** Hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that control the framing and the upgrade of a connection. */
constexpr auto hopByHopFields = std::to_array<std::string_view>(
    { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect" });

template<typename Message>
Message parseHead(const std::string &head, ResultCode failure)
{
    try {
        Message message;
        message.setFieldLimit(0);
        std::istringstream stream(head);
        message.read(stream);
        return message;
    } catch (const Poco::Exception &error) {
        throw Error(failure, RunState::Unknown, "can't parse the message head: " + error.displayText());
    }
}

/** Throws Error(AnswerMismatch) unless the status is three digits that a response to an ordinary request can have. */
void checkResponseStatus(const std::string &head)
{
    constexpr std::size_t digits = 3;
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    constexpr int switchingProtocols = 101;
    auto begin = head.find(' ');
    auto text = begin == std::string::npos ? std::string_view() : std::string_view(head).substr(begin + 1);
    text = text.substr(0, text.find_first_of(" \r\n"));
    int status = 0;
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), status);
    auto isNumber = problem == std::errc() && end == text.data() + text.size() && text.size() == digits;
    // The node never asks for another protocol.
    if (!isNumber || status < firstStatus || status > lastStatus || status == switchingProtocols) {
        throw Error(ResultCode::AnswerMismatch, RunState::Unknown, fmt::format("'{}' is not the status of a response", text));
    }
}

MessageFraming parseFraming(const Poco::Net::MessageHeader &head, ResultCode failure)
{
    auto lengths = std::count_if(head.begin(), head.end(), [](const auto &field) { return Poco::icompare(field.first, "Content-Length") == 0; });
    if (head.has("Transfer-Encoding")) {
        if (lengths > 0 || Poco::icompare(head.get("Transfer-Encoding"), "chunked") != 0) {
            throw Error(failure, RunState::Unknown, "the body length is ambiguous");
        }
        return { BodyFraming::Chunked, 0 };
    }
    if (lengths == 0) {
        return { BodyFraming::None, 0 };
    }
    const auto &text = head.get("Content-Length");
    MessageFraming framing { BodyFraming::ContentLength, 0 };
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), framing.length);
    if (lengths > 1 || problem != std::errc() || end != text.data() + text.size()) {
        throw Error(failure, RunState::Unknown, fmt::format("Content-Length '{}' is not a number", text));
    }
    return framing;
}

}

std::optional<std::string> extractHead(std::string &received)
{
    auto end = received.find(headEnd);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto head = received.substr(0, end + headEnd.size());
    received.erase(0, head.size());
    return head;
}

Poco::Net::HTTPRequest parseRequestHead(const std::string &head)
{
    return parseHead<Poco::Net::HTTPRequest>(head, ResultCode::BadRequest);
}

Poco::Net::HTTPResponse parseResponseHead(const std::string &head)
{
    auto response = parseHead<Poco::Net::HTTPResponse>(head, ResultCode::AnswerMismatch);
    checkResponseStatus(head);
    return response;
}

MessageFraming requestFraming(const Poco::Net::HTTPRequest &head)
{
    return parseFraming(head, ResultCode::BadRequest);
}

MessageFraming responseFraming(const Poco::Net::HTTPResponse &head, const std::string &requestMethod)
{
    auto status = static_cast<int>(head.getStatus());
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (requestMethod == "HEAD" || status == noContent || status == notModified) {
        return { BodyFraming::None, 0 };
    }
    auto framing = parseFraming(head, ResultCode::AnswerMismatch);
    return framing.type == BodyFraming::None ? MessageFraming { BodyFraming::UntilClose, 0 } : framing;
}

bool isHopByHopField(const Poco::Net::MessageHeader &head, const std::string &name)
{
    auto lower = Poco::toLower(name);
    if (std::find(hopByHopFields.begin(), hopByHopFields.end(), lower) != hopByHopFields.end()) {
        return true;
    }
    std::vector<std::string> listedFields;
    Poco::Net::MessageHeader::splitElements(head.get("Connection", ""), listedFields);
    return std::any_of(listedFields.begin(), listedFields.end(), [&](const std::string &element) { return Poco::icompare(element, name) == 0; });
}

HeaderFields forwardedFields(const Poco::Net::HTTPResponse &head)
{
    HeaderFields fields;
    for (const auto &[name, value] : head) {
        if (Poco::icompare(name, "Content-Length") != 0 && !isHopByHopField(head, name)) {
            fields.emplace_back(name, value);
        }
    }
    return fields;
}

}
