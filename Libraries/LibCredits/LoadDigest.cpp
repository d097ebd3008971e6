#include <LibCredits/LoadDigest.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Lovageward {

namespace {

constexpr std::size_t entryValues = 9;
constexpr std::size_t maximumEntryValues = 16;
constexpr std::size_t shortBootIdLength = 8;
constexpr std::uint64_t maximumCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maximumAgeMilliseconds = 3'600'000;

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

std::string encodeLoadDigest(const std::vector<LoadDigestEntry> &entries, TimePoint now)
{
    MessageWriter writer;
    writer.array(entries.size());
    for (const auto &entry : entries) {
        const auto &report = entry.report;
        writer.array(entryValues).text(entry.upstream.value()).number(bootNumber(report.bootId));
        writer.number(static_cast<std::uint64_t>(report.phase)).number(report.running).number(report.waiting);
        writer.number(report.kvBlocksUsed.value()).number(report.kvBlocksTotal.value());
        writer.number(report.coldLimit).number(ageOf(report, now));
    }
    return writer.encoded();
}

std::vector<LoadDigestEntry> decodeLoadDigest(std::string_view encoded, TimePoint now)
{
    MessageReader reader(encoded);
    auto size = reader.beginArray(0, maximumDigestEntries);
    std::vector<LoadDigestEntry> entries(size);
    for (auto &entry : entries) {
        reader.beginArray(entryValues, maximumEntryValues);
        auto &report = entry.report;
        entry.upstream = UpstreamId(reader.text());
        report.bootId = bootIdOf(reader.number(maximumCount));
        report.phase = static_cast<UpstreamPhase>(reader.number(static_cast<std::uint64_t>(UpstreamPhase::Leaving)));
        report.running = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.waiting = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.kvBlocksUsed = BlockCount(reader.number());
        report.kvBlocksTotal = BlockCount(reader.number());
        report.coldLimit = static_cast<std::uint32_t>(reader.number(maximumCount));
        report.measuredAt = now - milliseconds(reader.number(maximumAgeMilliseconds));
        reader.endArray();
    }
    return entries;
}

}
