#include <LibCredits/LoadDigest.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::size_t digestValues = 3;
constexpr std::size_t answerValues = 3;
constexpr std::size_t entryValues = 9;
constexpr std::size_t maximumValues = 16;
constexpr std::size_t shortBootIdLength = 8;
constexpr std::uint64_t maximumCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maximumAgeMilliseconds = 3'600'000;
// A thousand years; keeps the time within its range.
constexpr std::uint64_t maximumTimeMilliseconds = 31'536'000'000'000;

std::uint32_t bootNumber(const BootId &bootId)
{
    std::uint32_t number = 0;
    const auto &text = bootId.value();
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    auto isShort = text.size() == shortBootIdLength && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isShort ? number : static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0));
}

BootId bootIdOf(std::uint64_t number)
{
    return BootId(fmt::format("{:08x}", number));
}

std::uint64_t ageOf(const LoadReport &report, TimePoint now)
{
    // Rounded up, so that a report never seems younger than it is.
    auto age = std::chrono::ceil<milliseconds>(now - report.measuredAt).count();
    return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age, 0, maximumAgeMilliseconds));
}

}

BootId shortBootId(const BootId &bootId)
{
    return bootIdOf(bootNumber(bootId));
}

std::string encodeLoadDigest(const LoadDigest &digest, TimePoint now)
{
    MessageWriter writer;
    writer.array(digestValues).number(digest.receiverRun).number(static_cast<std::uint64_t>(toMilliseconds(digest.sentAt)));
    writer.array(digest.entries.size());
    for (const auto &entry : digest.entries) {
        const auto &report = entry.report;
        writer.array(entryValues).text(entry.upstream.value()).number(bootNumber(report.bootId));
        writer.number(static_cast<std::uint64_t>(report.phase)).number(report.running).number(report.waiting);
        writer.number(report.kvBlocksUsed.value()).number(report.kvBlocksTotal.value());
        writer.number(report.coldLimit).number(ageOf(report, now));
    }
    return writer.encoded();
}

LoadDigest decodeLoadDigest(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(digestValues, maximumValues);
    LoadDigest digest;
    digest.receiverRun = reader.number();
    digest.sentAt = fromMilliseconds<TimePoint>(static_cast<std::int64_t>(reader.number(maximumTimeMilliseconds)));
    digest.entries.resize(reader.beginArray(0, maximumDigestEntries));
    for (auto &entry : digest.entries) {
        reader.beginArray(entryValues, maximumValues);
        auto &report = entry.report;
        entry.upstream = UpstreamId(reader.text());
        report.bootId = bootIdOf(reader.number(maximumCount));
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
    writer.array(answerValues).number(answer.receiverRun).number(static_cast<std::uint64_t>(toMilliseconds(answer.receiverTime)));
    writer.flag(answer.isTaken);
    return writer.encoded();
}

LoadDigestAnswer decodeDigestAnswer(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(answerValues, maximumValues);
    LoadDigestAnswer answer;
    answer.receiverRun = reader.number();
    answer.receiverTime = fromMilliseconds<TimePoint>(static_cast<std::int64_t>(reader.number(maximumTimeMilliseconds)));
    answer.isTaken = reader.flag();
    return answer;
}

}
