#include <policy/Report.h>
#include <policy/Targets.h>

#include <fmt/format.h>

namespace Lovageward::Bench {

namespace {

constexpr double percent = 100;
constexpr const char *note = "Figures come from a fake engine at the upstream interface. They compare placement policies; they say nothing about real engines.";

std::string caseTable(const CaseResult &result)
{
    auto text = fmt::format("\n{}, {}, {:.0f} % of capacity: median [quartiles]\n", result.deployment, nameOf(result.disturbance), result.load * percent);
    text += fmt::format("{:<20}", "policy");
    for (const auto &field : measureFields()) {
        text += fmt::format(" {:>24}", field.key);
    }
    text += "\n";
    for (const auto &row : result.rows) {
        text += fmt::format("{:<20}", row.policy);
        for (const auto &field : measureFields()) {
            auto spread = row.spread(field.value);
            text += fmt::format(" {:>24}", fmt::format("{:.3g} [{:.3g} {:.3g}]", spread.median, spread.low, spread.high));
        }
        text += "\n";
    }
    return text;
}

std::string targetTable(const std::vector<CaseResult> &results)
{
    std::string text = "\nTargets of the policy \"forecast\" from 90 % load on, against the best baseline per measure (medians)\n";
    std::size_t reached = 0;
    std::size_t count = 0;
    for (const auto &result : results) {
        for (const auto &verdict : judge(result)) {
            auto place = fmt::format("{}, {}, {:.0f} %", result.deployment, nameOf(result.disturbance), result.load * percent);
            auto mark = verdict.isReached ? "reached" : "NOT REACHED";
            text += fmt::format("{:<36} {:<20} own {:>8.4g} reference {:>8.4g} bound {:>8.4g} {}\n",
                                place,
                                verdict.target,
                                verdict.own,
                                verdict.reference,
                                verdict.bound,
                                mark);
            reached += verdict.isReached ? 1 : 0;
            ++count;
        }
    }
    return text + fmt::format("{} of {} reached\n", reached, count);
}

std::string rowJson(const Row &row)
{
    auto text = fmt::format("{{\"policy\":\"{}\"", row.policy);
    for (const auto &field : measureFields()) {
        auto spread = row.spread(field.value);
        text += fmt::format(",\"{}\":[{:.6g},{:.6g},{:.6g}]", field.key, spread.low, spread.median, spread.high);
    }
    return text + "}";
}

template<typename Items, typename Format>
std::string joined(const Items &items, Format format)
{
    std::string text;
    for (const auto &item : items) {
        text += (text.empty() ? "" : ",\n") + format(item);
    }
    return "[" + text + "]";
}

std::string verdictJson(const Verdict &verdict)
{
    return fmt::format("{{\"target\":\"{}\",\"own\":{:.6g},\"reference\":{:.6g},\"bound\":{:.6g},\"reached\":{}}}",
                       verdict.target,
                       verdict.own,
                       verdict.reference,
                       verdict.bound,
                       verdict.isReached);
}

}

std::string textReport(const std::vector<CaseResult> &results)
{
    std::string text = std::string(note) + "\n";
    for (const auto &result : results) {
        text += caseTable(result);
    }
    return text + targetTable(results);
}

std::string jsonReport(const std::vector<CaseResult> &results)
{
    auto cases = joined(results, [](const CaseResult &result) {
        return fmt::format("{{\"deployment\":\"{}\",\"case\":\"{}\",\"load\":{:.2f},\"rows\":{},\"targets\":{}}}",
                           result.deployment,
                           nameOf(result.disturbance),
                           result.load,
                           joined(result.rows, rowJson),
                           joined(judge(result), verdictJson));
    });
    return fmt::format("{{\"note\":\"{}\",\"spread\":\"lower quartile, median, upper quartile\",\"cases\":{}}}\n", note, cases);
}

}
