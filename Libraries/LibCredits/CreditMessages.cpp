#include <LibCredits/CreditMessages.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

namespace Lovageward {

namespace {

constexpr std::size_t maximumFieldCount = 16;
constexpr std::size_t requestFieldCount = 2;
constexpr std::size_t grantFieldCount = 3;
constexpr std::size_t returnFieldCount = 4;
constexpr std::uint64_t maximumMilliseconds = 60'000;

void writeCredits(MessageWriter &writer, const std::vector<CreditId> &credits)
{
    writer.array(credits.size());
    for (auto credit : credits) {
        writer.number(credit.value());
    }
}

std::vector<CreditId> readCredits(MessageReader &reader)
{
    std::vector<CreditId> credits(reader.beginArray(0, maximumCreditsPerMessage));
    for (auto &credit : credits) {
        credit = CreditId(reader.number());
    }
    reader.endArray();
    return credits;
}

std::uint64_t wholeMilliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(duration).count());
}

}

std::string encodeCreditRequest(const CreditRequestMessage &message)
{
    MessageWriter writer;
    writer.array(requestFieldCount).text(message.upstream.value()).number(message.count);
    return writer.encoded();
}

std::string encodeCreditGrant(const CreditGrantMessage &message)
{
    MessageWriter writer;
    writer.array(grantFieldCount).number(wholeMilliseconds(message.lifetime)).number(wholeMilliseconds(message.retryAfter));
    writeCredits(writer, message.credits);
    return writer.encoded();
}

std::string encodeCreditReturn(const CreditReturnMessage &message)
{
    MessageWriter writer;
    writer.array(returnFieldCount).text(message.upstream.value());
    writeCredits(writer, message.started);
    writeCredits(writer, message.ended);
    writeCredits(writer, message.unused);
    return writer.encoded();
}

CreditRequestMessage decodeCreditRequest(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(requestFieldCount, maximumFieldCount);
    CreditRequestMessage message;
    message.upstream = UpstreamId(reader.text());
    message.count = static_cast<std::uint32_t>(reader.number(maximumCreditsPerMessage));
    return message;
}

CreditGrantMessage decodeCreditGrant(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(grantFieldCount, maximumFieldCount);
    CreditGrantMessage message;
    message.lifetime = milliseconds(reader.number(maximumMilliseconds));
    message.retryAfter = milliseconds(reader.number(maximumMilliseconds));
    message.credits = readCredits(reader);
    return message;
}

CreditReturnMessage decodeCreditReturn(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(returnFieldCount, maximumFieldCount);
    CreditReturnMessage message;
    message.upstream = UpstreamId(reader.text());
    message.started = readCredits(reader);
    message.ended = readCredits(reader);
    message.unused = readCredits(reader);
    return message;
}

}
