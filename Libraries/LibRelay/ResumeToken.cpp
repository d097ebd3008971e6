#include <LibRelay/ResumeToken.h>

#include <LibCore/Error.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <limits>
#include <sstream>

namespace Lovageward {

namespace {

constexpr char formatVersion = 2;
constexpr std::size_t signatureBytes = 32;
constexpr std::size_t maximumTokenBytes = 2048;
constexpr std::string_view nothingDelivered = "none";

/** SHA-256 with the constants that POCO's HMACEngine requires. */
class Sha256Engine final : public Poco::SHA2Engine
{
public:
    // NOLINTNEXTLINE(readability-identifier-naming): HMACEngine uses these names.
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };

    Sha256Engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

[[noreturn]] void refuse(const std::string &message)
{
    throw Error(ResultCode::ResumeTokenInvalid, RunState::NotRun, message);
}

void appendField(std::string &content, const std::string &field)
{
    if (field.size() > std::numeric_limits<unsigned char>::max()) {
        throw Error(ResultCode::Internal, RunState::Unknown, "an id is too long for a resume token");
    }
    content += static_cast<char>(static_cast<unsigned char>(field.size()));
    content += field;
}

std::string takeField(std::string_view &content)
{
    if (content.empty() || content.size() < 1U + static_cast<unsigned char>(content.front())) {
        refuse("the resume token is malformed");
    }
    auto length = static_cast<unsigned char>(content.front());
    std::string field(content.substr(1, length));
    content.remove_prefix(1U + length);
    return field;
}

template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

std::string encode(const std::string &bytes)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

std::string decode(std::string_view text)
{
    try {
        std::istringstream stream { std::string(text) };
        Poco::Base64Decoder decoder(stream, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
        return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
    } catch (const Poco::Exception &) {
        refuse("the resume token is malformed");
    }
}

}

std::string ResumeTokenCodec::computeSignature(const std::string &content) const
{
    Poco::HMACEngine<Sha256Engine> engine(this->key);
    engine.update(content);
    const auto &digest = engine.digest();
    return { digest.begin(), digest.end() };
}

std::string ResumeTokenCodec::seal(const ResumeToken &token) const
{
    std::string content(1, formatVersion);
    appendField(content, token.upstream.value());
    appendField(content, token.address);
    appendField(content, token.generation.value());
    appendField(content, token.request.value());
    appendField(content, token.team.value());
    appendField(content, token.workClass.value());
    appendField(content, token.owner.value());
    appendField(content, std::to_string(toMilliseconds(token.expiresAt)));
    return encode(content + this->computeSignature(content));
}

ResumeToken ResumeTokenCodec::open(std::string_view text, WallTime now) const
{
    if (text.size() > maximumTokenBytes) {
        refuse("the resume token is too long");
    }
    auto bytes = decode(text);
    if (bytes.size() <= signatureBytes) {
        refuse("the resume token is too short");
    }
    auto content = bytes.substr(0, bytes.size() - signatureBytes);
    // A comparison in constant time doesn't reveal where the signatures differ.
    Poco::DigestEngine::Digest received(bytes.begin() + static_cast<std::ptrdiff_t>(content.size()), bytes.end());
    auto expected = this->computeSignature(content);
    if (!Poco::DigestEngine::constantTimeEquals(Poco::DigestEngine::Digest(expected.begin(), expected.end()), received)) {
        refuse("the resume token is not authentic");
    }
    std::string_view rest(content);
    if (rest.front() != formatVersion) {
        refuse("the resume token has an unknown version");
    }
    rest.remove_prefix(1);
    ResumeToken token;
    token.upstream = UpstreamId(takeField(rest));
    token.address = takeField(rest);
    token.generation = GenerationId(takeField(rest));
    token.request = RequestId(takeField(rest));
    token.team = TeamId(takeField(rest));
    token.workClass = WorkClassId(takeField(rest));
    token.owner = HostId(takeField(rest));
    std::int64_t expiry = 0;
    if (!parseNumber(takeField(rest), expiry) || !rest.empty()) {
        refuse("the resume token is malformed");
    }
    token.expiresAt = fromMilliseconds<WallTime>(expiry);
    if (token.expiresAt <= now) {
        refuse("the resume token has expired");
    }
    return token;
}

std::string ResumeTokenCodec::eventId(std::string_view sealed, std::optional<TokenOffset> lastDelivered)
{
    return lastDelivered ? fmt::format("{}/{}", sealed, lastDelivered->value()) : fmt::format("{}/{}", sealed, nothingDelivered);
}

ResumePoint ResumeTokenCodec::parseEventId(std::string_view eventId, WallTime now) const
{
    auto slash = eventId.rfind('/');
    if (slash == std::string_view::npos) {
        refuse("Last-Event-ID is not <resume token>/<offset>");
    }
    auto position = eventId.substr(slash + 1);
    std::uint64_t last = 0;
    if (position != nothingDelivered && (!parseNumber(position, last) || last == std::numeric_limits<std::uint64_t>::max())) {
        refuse("the offset in Last-Event-ID is not a number");
    }
    auto from = position == nothingDelivered ? TokenOffset(0) : TokenOffset(last + 1);
    return { this->open(eventId.substr(0, slash), now), from };
}

}
