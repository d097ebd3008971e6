#include <LibGateway/UpstreamReportCodec.h>

#include <algorithm>
#include <cmath>

namespace Lovageward {

namespace {

/** Largest age of a response with or without a rate limit that is sent; longer ones are clamped. */
constexpr Duration maximumRateLimitAge = minutes(1);

/** Limits of a suspected part in a digest: its crashes, of which the newest are sent, their age, and the number of parts before it. */
constexpr std::size_t maximumReportedCrashes = 6;
constexpr Duration maximumCrashAge = minutes(60);
constexpr std::uint32_t maximumPartPosition = 1'000;

constexpr Duration maximumSpeedReportAge = minutes(1);

/** Limits of the reported loads in a digest: their number, and their age, beyond which they are clamped. */
constexpr std::size_t maximumSpeedReportsPerDigest = 2 * maximumSpeedReports;

constexpr auto maximumScaledRateLimit = static_cast<std::uint64_t>(maximumRateLimit * rateLimitScale);

}

void writeAge(MessageWriter &writer, Duration age, Duration maximumAge)
{
    writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(age, Duration(0), maximumAge) / milliseconds(1)));
}

Duration readAge(MessageReader &reader, Duration maximumAge)
{
    return milliseconds(reader.number(static_cast<std::uint64_t>(maximumAge / milliseconds(1))));
}

void writeLeavingUpstreams(MessageWriter &writer, const std::vector<UpstreamShutdownNotice> &leaves)
{
    auto count = std::min(leaves.size(), maximumLeavingUpstreams);
    writer.array(count);
    for (std::size_t position = 0; position < count; ++position) {
        writer.array(2).text(leaves[position].upstream.value()).text(leaves[position].boot.value());
    }
}

std::vector<UpstreamShutdownNotice> readLeavingUpstreams(MessageReader &reader)
{
    std::vector<UpstreamShutdownNotice> leaves(reader.beginArray(0, maximumLeavingUpstreams));
    for (auto &leave : leaves) {
        reader.beginArray(2, maximumDigestFields);
        leave.upstream = UpstreamId(reader.text());
        leave.boot = BootId(reader.text());
        reader.endArray();
    }
    reader.endArray();
    return leaves;
}

void writeRateLimits(MessageWriter &writer, const std::vector<UpstreamRateLimitReport> &reports)
{
    auto count = std::min(reports.size(), maximumRateLimits);
    writer.array(count);
    for (std::size_t position = 0; position < count; ++position) {
        const auto &report = reports[position];
        writer.array(5).text(report.upstream.value()).text(report.boot.value()).flag(report.requestsPerSecond.has_value());
        writer.number(static_cast<std::uint64_t>(std::llround(report.requestsPerSecond.value_or(0) * rateLimitScale)));
        writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(report.age, Duration(0), maximumRateLimitAge) / milliseconds(1)));
    }
}

std::vector<UpstreamRateLimitReport> readRateLimits(MessageReader &reader)
{
    std::vector<UpstreamRateLimitReport> reports(reader.beginArray(0, maximumRateLimits));
    for (auto &report : reports) {
        reader.beginArray(5, maximumDigestFields);
        report.upstream = UpstreamId(reader.text());
        report.boot = BootId(reader.text());
        auto isLimited = reader.flag();
        auto requestsPerSecond = static_cast<double>(reader.number(maximumScaledRateLimit)) / rateLimitScale;
        report.requestsPerSecond = isLimited ? std::optional<double>(requestsPerSecond) : std::nullopt;
        report.age = milliseconds(reader.number(static_cast<std::uint64_t>(maximumRateLimitAge / milliseconds(1))));
        reader.endArray();
    }
    reader.endArray();
    return reports;
}

void writeSuspectedParts(MessageWriter &writer, const std::vector<PromptPartReport> &reports)
{
    auto count = std::min(reports.size(), maximumSuspectedParts);
    writer.array(count);
    for (std::size_t position = 0; position < count; ++position) {
        const auto &report = reports[position];
        writer.array(5).number(report.part).number(std::min(report.position, maximumPartPosition)).flag(report.successAge.has_value());
        writeAge(writer, report.successAge.value_or(Duration(0)), maximumCrashAge);
        auto crashes = std::min(report.crashes.size(), maximumReportedCrashes);
        writer.array(crashes);
        for (std::size_t crash = 0; crash < crashes; ++crash) {
            writer.array(2).number(report.crashes[crash].process);
            writeAge(writer, report.crashes[crash].age, maximumCrashAge);
        }
    }
}

std::vector<PromptPartReport> readSuspectedParts(MessageReader &reader)
{
    std::vector<PromptPartReport> reports(reader.beginArray(0, maximumSuspectedParts));
    for (auto &report : reports) {
        reader.beginArray(5, maximumDigestFields);
        report.part = reader.number();
        report.position = static_cast<std::uint32_t>(reader.number(maximumPartPosition));
        auto hasSucceeded = reader.flag();
        auto successAge = readAge(reader, maximumCrashAge);
        report.successAge = hasSucceeded ? std::optional(successAge) : std::nullopt;
        report.crashes.resize(reader.beginArray(0, maximumReportedCrashes));
        for (auto &crash : report.crashes) {
            reader.beginArray(2, maximumDigestFields);
            crash.process = reader.number();
            crash.age = readAge(reader, maximumCrashAge);
            reader.endArray();
        }
        reader.endArray();
        reader.endArray();
    }
    reader.endArray();
    return reports;
}

void writeSpeedReports(MessageWriter &writer, const std::vector<UpstreamSpeedReport> &reports)
{
    auto count = std::min(reports.size(), maximumSpeedReportsPerDigest);
    writer.array(count);
    for (std::size_t position = 0; position < count; ++position) {
        const auto &report = reports[position];
        writer.array(7).number(report.upstreamHash).number(report.bootHash).number(report.running).number(report.waiting);
        writer.number(report.slowness.value_or(0));
        writeAge(writer, report.age, maximumSpeedReportAge);
        writer.flag(report.isFromOtherDomain);
    }
}

std::vector<UpstreamSpeedReport> readSpeedReports(MessageReader &reader)
{
    std::vector<UpstreamSpeedReport> reports(reader.beginArray(0, maximumSpeedReportsPerDigest));
    for (auto &report : reports) {
        reader.beginArray(7, maximumDigestFields);
        report.upstreamHash = reader.number();
        report.bootHash = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
        report.running = static_cast<std::uint32_t>(reader.number(maximumReportedFigure));
        report.waiting = static_cast<std::uint32_t>(reader.number(maximumReportedFigure));
        auto slowness = static_cast<std::uint32_t>(reader.number(maximumReportedFigure));
        report.slowness = slowness > 0 ? std::optional(slowness) : std::nullopt;
        report.age = readAge(reader, maximumSpeedReportAge);
        report.isFromOtherDomain = reader.flag();
        reader.endArray();
    }
    reader.endArray();
    return reports;
}

}
