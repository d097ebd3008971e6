#include <policy/Report.h>
#include <policy/Targets.h>

#include <fmt/format.h>

namespace Lovageward::Bench {

namespace {

constexpr double percent = 100;
constexpr const char *note = "Figures come from a fake engine at the upstream interface. They compare placement policies; they say nothing about real engines.";

std::string formatCaseTable(const CaseResult &result)
{
    auto text = fmt::format("\n{}, {}, {:.0f} % of capacity: median [quartiles]\n", result.deployment, nameOf(result.disturbance), result.load * percent);
    text += fmt::format("{:<20}", "policy");
    for (const auto &field : measureFields()) {
        text += fmt::format(" {:>24}", field.key);
    }
    text += "\n";
    for (const auto &policyResult : result.policies) {
        text += fmt::format("{:<20}", policyResult.policy);
        for (const auto &field : measureFields()) {
            auto quartiles = policyResult.quartiles(field.value);
            text += fmt::format(" {:>24}", fmt::format("{:.3g} [{:.3g} {:.3g}]", quartiles.median, quartiles.lower, quartiles.upper));
        }
        text += "\n";
    }
    return text;
}

std::string formatTargetTable(const std::vector<CaseResult> &results)
{
    std::string text = "\nTargets of the policy \"forecast\" from 90 % load on, against the best baseline per measure (medians)\n";
    std::size_t reached = 0;
    std::size_t count = 0;
    for (const auto &result : results) {
        for (const auto &targetResult : evaluateTargets(result)) {
            auto place = fmt::format("{}, {}, {:.0f} %", result.deployment, nameOf(result.disturbance), result.load * percent);
            auto mark = targetResult.isReached ? "reached" : "NOT REACHED";
            text += fmt::format("{:<36} {:<20} own {:>8.4g} reference {:>8.4g} bound {:>8.4g} {}\n",
                                place,
                                targetResult.target,
                                targetResult.own,
                                targetResult.reference,
                                targetResult.bound,
                                mark);
            reached += targetResult.isReached ? 1 : 0;
            ++count;
        }
    }
    return text + fmt::format("{} of {} reached\n", reached, count);
}

std::string formatPolicyJson(const PolicyResult &policyResult)
{
    auto text = fmt::format("{{\"policy\":\"{}\"", policyResult.policy);
    for (const auto &field : measureFields()) {
        auto quartiles = policyResult.quartiles(field.value);
        text += fmt::format(",\"{}\":[{:.6g},{:.6g},{:.6g}]", field.key, quartiles.lower, quartiles.median, quartiles.upper);
    }
    return text + "}";
}

template<typename Items, typename Format>
std::string formatJsonArray(const Items &items, Format format)
{
    std::string text;
    for (const auto &item : items) {
        text += (text.empty() ? "" : ",\n") + format(item);
    }
    return "[" + text + "]";
}

std::string formatTargetJson(const TargetResult &targetResult)
{
    return fmt::format("{{\"target\":\"{}\",\"own\":{:.6g},\"reference\":{:.6g},\"bound\":{:.6g},\"reached\":{}}}",
                       targetResult.target,
                       targetResult.own,
                       targetResult.reference,
                       targetResult.bound,
                       targetResult.isReached);
}

}

std::string formatTextReport(const std::vector<CaseResult> &results)
{
    std::string text = std::string(note) + "\n";
    for (const auto &result : results) {
        text += formatCaseTable(result);
    }
    return text + formatTargetTable(results);
}

std::string formatJsonReport(const std::vector<CaseResult> &results)
{
    auto cases = formatJsonArray(results, [](const CaseResult &result) {
        return fmt::format("{{\"deployment\":\"{}\",\"case\":\"{}\",\"load\":{:.2f},\"rows\":{},\"targets\":{}}}",
                           result.deployment,
                           nameOf(result.disturbance),
                           result.load,
                           formatJsonArray(result.policies, formatPolicyJson),
                           formatJsonArray(evaluateTargets(result), formatTargetJson));
    });
    return fmt::format("{{\"note\":\"{}\",\"spread\":\"lower quartile, median, upper quartile\",\"cases\":{}}}\n", note, cases);
}

}
