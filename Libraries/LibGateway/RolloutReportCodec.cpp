#include <LibGateway/RolloutReportCodec.h>

#include <algorithm>
#include <array>

namespace Lovageward {

namespace {

/** Limit of the values in an array to which newer versions can append. */
constexpr std::size_t maximumFields = 64;

/** Limits of received values. */
constexpr std::uint64_t maximumStage = 16;
constexpr std::uint64_t maximumNodes = 100'000;
constexpr std::uint64_t maximumCount = std::uint64_t(1) << 40U;

/** Longest age that is sent; longer ones are clamped. */
constexpr Duration maximumAge = std::chrono::hours(24 * 365);

constexpr std::size_t reportFields = 10;
constexpr std::size_t countsPerRoute = 12;

/** The members of both counts in the order in which they are sent. */
template<typename Counts>
auto fieldsOf(Counts &counts)
{
    return std::array { &counts.responses, &counts.failures, &counts.starts, &counts.slowStarts, &counts.paces, &counts.slowPaces };
}

}

void writeRolloutReports(MessageWriter &writer, const std::vector<RolloutReport> &reports)
{
    auto count = std::min(reports.size(), maximumRolloutReports);
    writer.array(count);
    for (std::size_t position = 0; position < count; ++position) {
        const auto &report = reports[position];
        writer.array(reportFields).text(report.pool.value()).number(report.order.value()).text(report.target.value());
        writer.number(static_cast<std::uint64_t>(report.phase)).number(report.stage);
        writer.number(static_cast<std::uint64_t>(std::clamp<Duration>(report.age, Duration(0), maximumAge) / milliseconds(1)));
        writer.number(static_cast<std::uint64_t>(report.scope)).number(report.process);
        writer.array(2).number(report.nodeCount).number(report.baselineRuns);
        auto routes = std::min(report.totals.size(), maximumRolloutRoutes);
        writer.array(routes);
        for (auto route = report.totals.begin(); routes > 0; ++route, --routes) {
            writer.array(countsPerRoute + 1).number(route->first);
            for (const auto *counts : { &route->second.target, &route->second.baseline }) {
                for (const auto *field : fieldsOf(*counts)) {
                    writer.number(std::min(*field, maximumCount));
                }
            }
        }
    }
}

std::vector<RolloutReport> readRolloutReports(MessageReader &reader)
{
    std::vector<RolloutReport> reports(reader.beginArray(0, maximumRolloutReports));
    for (auto &report : reports) {
        reader.beginArray(reportFields, maximumFields);
        report.pool = PoolId(reader.text());
        report.order = RolloutOrderId(reader.number());
        report.target = UpstreamVersion(reader.text());
        report.phase = static_cast<RolloutPhase>(reader.number(static_cast<std::uint64_t>(RolloutPhase::RolledBack)));
        report.stage = static_cast<std::uint32_t>(reader.number(maximumStage));
        report.age = milliseconds(reader.number(static_cast<std::uint64_t>(maximumAge / milliseconds(1))));
        report.scope = static_cast<RolloutScope>(reader.number(static_cast<std::uint64_t>(RolloutScope::OtherDomains)));
        report.process = reader.number();
        reader.beginArray(2, maximumFields);
        report.nodeCount = static_cast<std::uint32_t>(reader.number(maximumNodes));
        report.baselineRuns = reader.number(maximumCount);
        reader.endArray();
        auto routes = reader.beginArray(0, maximumRolloutRoutes);
        for (std::size_t route = 0; route < routes; ++route) {
            reader.beginArray(countsPerRoute + 1, maximumFields);
            auto &counts = report.totals[reader.number()];
            for (auto *version : { &counts.target, &counts.baseline }) {
                for (auto *field : fieldsOf(*version)) {
                    *field = reader.number(maximumCount);
                }
            }
            reader.endArray();
        }
        reader.endArray();
        reader.endArray();
    }
    reader.endArray();
    return reports;
}

}
