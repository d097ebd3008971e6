#include <LibCredits/LoadDigest.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::size_t digestFieldCount = 3;
constexpr std::size_t answerFieldCount = 3;
constexpr std::size_t entryFieldCount = 9;
constexpr std::size_t maximumFieldCount = 16;
constexpr std::size_t shortBootIdLength = 8;
constexpr std::uint64_t maximumCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maximumAgeMilliseconds = 3'600'000;
// 1,000 years; keeps decoded times within the range of TimePoint.
constexpr std::uint64_t maximumTimeMilliseconds = 31'536'000'000'000;

std::uint32_t bootIdToNumber(const BootId &bootId)
{
    std::uint32_t number = 0;
    const auto &text = bootId.value();
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    auto isShortId = text.size() == shortBootIdLength && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isShortId ? number : static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0));
}

BootId numberToBootId(std::uint64_t number)
{
    return BootId(fmt::format("{:08x}", number));
}

std::uint64_t reportAgeMilliseconds(const LoadReport &report, TimePoint now)
{
    // Rounded up, so that a report never appears younger than it is.
    auto age = std::chrono::ceil<milliseconds>(now - report.measuredAt).count();
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, maximumAgeMilliseconds));
}

}

BootId shortenBootId(const BootId &bootId)
{
    return numberToBootId(bootIdToNumber(bootId));
}

std::string encodeLoadDigest(const LoadDigest &digest, TimePoint now)
{
    MessageWriter writer;
    writer.array(digestFieldCount).number(digest.receiverInstance).number(static_cast<std::uint64_t>(toMilliseconds(digest.sentAt)));
    writer.array(digest.entries.size());
    for (const auto &entry : digest.entries) {
        const auto &report = entry.report;
        writer.array(entryFieldCount).text(entry.upstream.value()).number(bootIdToNumber(report.bootId));
        writer.number(static_cast<std::uint64_t>(report.phase)).number(report.running).number(report.waiting);
        writer.number(report.kvBlocksUsed.value()).number(report.kvBlocksTotal.value());
        writer.number(report.coldLimit).number(reportAgeMilliseconds(report, now));
    }
    return writer.encoded();
}

LoadDigest decodeLoadDigest(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(digestFieldCount, maximumFieldCount);
    LoadDigest digest;
    digest.receiverInstance = reader.number();
    digest.sentAt = fromMilliseconds<TimePoint>(static_cast<std::int64_t>(reader.number(maximumTimeMilliseconds)));
    digest.entries.resize(reader.beginArray(0, maximumDigestEntries));
    for (auto &entry : digest.entries) {
        reader.beginArray(entryFieldCount, maximumFieldCount);
        auto &report = entry.report;
        entry.upstream = UpstreamId(reader.text());
        report.bootId = numberToBootId(reader.number(maximumCount));
        report.phase = static_cast<UpstreamPhase>(reader.number(static_cast<std::uint64_t>(UpstreamPhase::Leaving)));
        report.running = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.waiting = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.kvBlocksUsed = BlockCount(reader.number());
        report.kvBlocksTotal = BlockCount(reader.number());
        report.coldLimit = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.measuredAt = digest.sentAt - milliseconds(reader.number(maximumAgeMilliseconds));
        reader.endArray();
    }
    return digest;
}

std::string encodeDigestAnswer(const LoadDigestAnswer &answer)
{
    MessageWriter writer;
    writer.array(answerFieldCount).number(answer.receiverInstance).number(static_cast<std::uint64_t>(toMilliseconds(answer.receiverTime)));
    writer.flag(answer.isAccepted);
    return writer.encoded();
}

LoadDigestAnswer decodeDigestAnswer(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(answerFieldCount, maximumFieldCount);
    LoadDigestAnswer answer;
    answer.receiverInstance = reader.number();
    answer.receiverTime = fromMilliseconds<TimePoint>(static_cast<std::int64_t>(reader.number(maximumTimeMilliseconds)));
    answer.isAccepted = reader.flag();
    return answer;
}

}
