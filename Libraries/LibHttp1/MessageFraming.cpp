#include <LibHttp1/MessageFraming.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

[[noreturn]] void fail(ResultCode failure, const std::string &reason)
{
    auto runState = failure == ResultCode::BadRequest ? RunState::NotRun : RunState::Unknown;
    throw Error(failure, runState, reason);
}

MessageFraming parseFraming(const HeaderFields &fields, HttpVersion version, ResultCode failure)
{
    auto lengths = fields.count("Content-Length");
    auto encodings = fields.count("Transfer-Encoding");
    if (encodings > 0) {
        auto isChunked = encodings == 1 && equalsIgnoringCase(fields.get("Transfer-Encoding"), "chunked");
        if (lengths > 0 || !isChunked || version == HttpVersion::Http10) {
            fail(failure, "the body length is ambiguous");
        }
        return { BodyFraming::Chunked, 0 };
    }
    if (lengths == 0) {
        return { BodyFraming::None, 0 };
    }
    const auto &text = fields.get("Content-Length");
    MessageFraming framing { BodyFraming::ContentLength, 0 };
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), framing.length);
    if (lengths > 1 || problem != std::errc() || end != text.data() + text.size()) {
        fail(failure, fmt::format("Content-Length '{}' is not a number", text));
    }
    return framing;
}

}

MessageFraming requestFraming(const RequestHead &head)
{
    return parseFraming(head.fields, head.version, ResultCode::BadRequest);
}

MessageFraming responseFraming(const ResponseHead &head, std::string_view requestMethod)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (requestMethod == "HEAD" || head.status == noContent || head.status == notModified) {
        return { BodyFraming::None, 0 };
    }
    auto framing = parseFraming(head.fields, head.version, ResultCode::AnswerMismatch);
    return framing.type == BodyFraming::None ? MessageFraming { BodyFraming::UntilClose, 0 } : framing;
}

}
