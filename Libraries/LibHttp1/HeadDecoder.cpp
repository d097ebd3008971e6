#include <LibHttp1/HeadDecoder.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view version10 = "HTTP/1.0";
constexpr std::string_view version11 = "HTTP/1.1";

/** Splits a head into its lines and reports violations as errors of one code. */
class HeadReader
{
public:
    HeadReader(std::string_view head, ResultCode failure) : rest(head), failure(failure)
    {
    }

    [[noreturn]] void fail(const std::string &reason) const
    {
        // A request that can't be decoded isn't forwarded; a response that can't be decoded may be that of a run.
        auto runState = this->failure == ResultCode::BadRequest ? RunState::NotRun : RunState::Unknown;
        throw Error(this->failure, runState, "can't decode the message head: " + reason);
    }

    std::string_view nextLine()
    {
        auto end = this->rest.find(lineEnd);
        if (end == std::string_view::npos) {
            this->fail("a line has no end");
        }
        auto line = this->rest.substr(0, end);
        this->rest.remove_prefix(end + lineEnd.size());
        return line;
    }

    HttpVersion parseVersion(std::string_view text) const
    {
        if (text != version10 && text != version11) {
            this->fail("the version is neither HTTP/1.0 nor HTTP/1.1");
        }
        return text == version11 ? HttpVersion::Http11 : HttpVersion::Http10;
    }

    HeaderFields parseFields()
    {
        HeaderFields fields;
        for (auto line = this->nextLine(); !line.empty(); line = this->nextLine()) {
            auto field = parseField(line);
            if (!field) {
                this->fail(fmt::format("the line of {} bytes is not a header field", line.size()));
            }
            fields.add(std::move(field->name), std::move(field->value));
        }
        if (!this->rest.empty()) {
            this->fail("bytes follow the empty line");
        }
        return fields;
    }

private:
    std::string_view rest;
    ResultCode failure;
};

/** True for characters that a host and its port consist of (RFC 3986, section 3.2.2). An empty one is valid, for targets without an authority. */
bool isHost(std::string_view text)
{
    constexpr std::string_view others = "/?@,\"<>\\^`{|}";
    return std::all_of(text.begin(), text.end(), [&](char character) { return character > ' ' && character <= '~' && others.find(character) == others.npos; });
}

bool isStatus(std::string_view text, int &status)
{
    constexpr std::size_t digits = 3;
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), status);
    return text.size() == digits && problem == std::errc() && end == text.data() + text.size() && status >= firstStatus && status <= lastStatus;
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

RequestHead decodeRequestHead(std::string_view head)
{
    HeadReader reader(head, ResultCode::BadRequest);
    auto line = reader.nextLine();
    auto methodEnd = line.find(' ');
    auto targetEnd = line.rfind(' ');
    if (methodEnd == targetEnd) {
        reader.fail("the request line doesn't consist of method, target and version");
    }
    auto method = Method::parse(line.substr(0, methodEnd));
    auto target = RequestTarget::parse(line.substr(methodEnd + 1, targetEnd - methodEnd - 1));
    if (!method || !target) {
        reader.fail("the method or the target is malformed");
    }
    if (method->value() == "CONNECT") {
        reader.fail("no tunnels are opened");
    }
    auto version = reader.parseVersion(line.substr(targetEnd + 1));
    auto fields = reader.parseFields();
    auto hosts = fields.count("Host");
    if (hosts > 1 || (hosts == 0 && version == HttpVersion::Http11) || !isHost(fields.get("Host"))) {
        reader.fail("there isn't one valid Host field");
    }
    return RequestHead { std::move(*method), std::move(*target), std::move(fields), version };
}

ResponseHead decodeResponseHead(std::string_view head)
{
    HeadReader reader(head, ResultCode::AnswerMismatch);
    auto line = reader.nextLine();
    auto versionEnd = line.find(' ');
    auto statusEnd = versionEnd == std::string_view::npos ? versionEnd : line.find(' ', versionEnd + 1);
    if (statusEnd == std::string_view::npos) {
        reader.fail("the status line doesn't consist of version, status and reason phrase");
    }
    auto version = reader.parseVersion(line.substr(0, versionEnd));
    auto statusText = line.substr(versionEnd + 1, statusEnd - versionEnd - 1);
    auto reason = ReasonPhrase::parse(line.substr(statusEnd + 1));
    constexpr int switchingProtocols = 101;
    int status = 0;
    // The project never asks for another protocol.
    if (!isStatus(statusText, status) || status == switchingProtocols || !reason) {
        reader.fail("the status or the reason phrase is malformed");
    }
    return ResponseHead { status, std::move(*reason), reader.parseFields(), version };
}

}
