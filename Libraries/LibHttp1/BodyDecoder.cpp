#include <LibHttp1/BodyDecoder.h>

#include <LibHttp1/HeaderFields.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Lovageward {

namespace {

constexpr std::string_view hexadecimalDigits = "0123456789abcdefABCDEF";

/** Digits of the largest chunk size of 64 bits. */
constexpr std::size_t maximumSizeDigits = 16;

/** Removes a token from the front. Returns false if there is none. */
bool skipToken(std::string_view &text)
{
    auto end = std::find_if_not(text.begin(), text.end(), isTokenCharacter);
    auto length = static_cast<std::size_t>(end - text.begin());
    text.remove_prefix(length);
    return length > 0;
}

/** Removes a quoted string (RFC 9110, section 5.6.4) from the front. Returns false if there is none. */
bool skipQuotedString(std::string_view &text)
{
    for (std::size_t position = 1; text.starts_with('"') && position < text.size(); ++position) {
        if (text[position] == '"') {
            text.remove_prefix(position + 1);
            return true;
        }
        // A backslash quotes the character after it.
        position += text[position] == '\\' ? 1 : 0;
    }
    return false;
}

/** True for any number of extensions, each a name that a value may follow (RFC 9112, section 7.1.1). Their meaning is ignored. */
bool areChunkExtensions(std::string_view text)
{
    if (!isFieldContent(text)) {
        return false;
    }
    while (!text.empty()) {
        text = trimWhitespaceAtFront(text);
        if (!text.starts_with(';')) {
            return false;
        }
        text = trimWhitespaceAtFront(text.substr(1));
        if (!skipToken(text)) {
            return false;
        }
        auto value = trimWhitespaceAtFront(text);
        if (value.starts_with('=')) {
            text = trimWhitespaceAtFront(value.substr(1));
            if (!skipToken(text) && !skipQuotedString(text)) {
                return false;
            }
        }
    }
    return true;
}

}

BodyDecoder::BodyDecoder(BodyFraming framing, std::uint64_t length, const FramingLimits &limits)
    : framing(framing), remainingBytes(framing == BodyFraming::ContentLength ? length : 0), limits(limits)
{
}

BodyDecoder::State BodyDecoder::decode(std::string &received, std::string &body)
{
    switch (this->framing) {
    case BodyFraming::None:
        return State::Complete;
    case BodyFraming::ContentLength: {
        auto count = std::min<std::uint64_t>(this->remainingBytes, received.size());
        body.append(received, 0, count);
        received.erase(0, count);
        this->remainingBytes -= count;
        return this->remainingBytes == 0 ? State::Complete : State::NeedsMoreData;
    }
    case BodyFraming::Chunked:
        return this->decodeChunks(received, body);
    case BodyFraming::UntilClose:
        body += received;
        received.clear();
        return State::NeedsMoreData;
    }
    return State::Malformed;
}

BodyDecoder::State BodyDecoder::handleConnectionClosed()
{
    if (this->framing == BodyFraming::UntilClose || this->isComplete) {
        return State::Complete;
    }
    return State::Malformed;
}

BodyDecoder::State BodyDecoder::decodeChunks(std::string &received, std::string &body)
{
    while (!this->isComplete) {
        if (this->chunkState == ChunkState::Data) {
            auto count = std::min<std::uint64_t>(this->remainingBytes, received.size());
            body.append(received, 0, count);
            received.erase(0, count);
            this->remainingBytes -= count;
            if (this->remainingBytes > 0) {
                return State::NeedsMoreData;
            }
            this->chunkState = ChunkState::DataEnd;
        }
        auto state = this->decodeChunkLine(received);
        if (state != State::Complete) {
            return state;
        }
    }
    return State::Complete;
}

BodyDecoder::State BodyDecoder::decodeChunkLine(std::string &received)
{
    std::string line;
    auto failure = State::NeedsMoreData;
    if (!this->extractLine(received, line, failure)) {
        return failure;
    }
    if (this->chunkState == ChunkState::Trailer) {
        this->trailerBytesRead += line.size();
        if (this->trailerBytesRead > this->limits.trailerBytes) {
            return State::LimitExceeded;
        }
        this->isComplete = line.empty();
        return line.empty() || parseField(line) ? State::Complete : State::Malformed;
    }
    if (this->chunkState == ChunkState::DataEnd) {
        this->chunkState = ChunkState::Size;
        return line.empty() ? State::Complete : State::Malformed;
    }
    constexpr int hexadecimal = 16;
    std::uint64_t size = 0;
    auto [rest, problem] = std::from_chars(line.data(), line.data() + line.size(), size, hexadecimal);
    auto digits = static_cast<std::size_t>(rest - line.data());
    if (problem != std::errc() || digits > maximumSizeDigits || !areChunkExtensions(std::string_view(line).substr(digits))) {
        return State::Malformed;
    }
    this->remainingBytes = size;
    this->chunkState = size == 0 ? ChunkState::Trailer : ChunkState::Data;
    return State::Complete;
}

bool BodyDecoder::extractLine(std::string &received, std::string &line, State &failure) const
{
    auto end = received.find("\r\n");
    if (end == std::string::npos) {
        // A size with more digits is out of range, so the end of its line isn't waited for.
        auto hasTooManyDigits
            = this->chunkState == ChunkState::Size && received.find_first_not_of(hexadecimalDigits) > maximumSizeDigits && received.size() > maximumSizeDigits;
        failure = received.size() > this->limits.lineBytes || hasTooManyDigits ? State::LimitExceeded : State::NeedsMoreData;
        return false;
    }
    if (end > this->limits.lineBytes) {
        failure = State::LimitExceeded;
        return false;
    }
    line = received.substr(0, end);
    received.erase(0, end + 2);
    return true;
}

}
