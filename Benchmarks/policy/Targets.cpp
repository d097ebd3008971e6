#include <policy/Targets.h>

#include <algorithm>

namespace Lovageward::Bench {

namespace {

/** Lowest load with targets, 90 % less a tolerance for rounding. */
constexpr double minimumLoad = 0.895;
/** Share of the reference that the policy has to reach while a domain is out and after its return. */
constexpr double minimumDrainShare = 0.95;

struct Target
{
    const char *name;
    double Measures::*field;
    double factor;
};

double findBestBaseline(const CaseResult &result, double Measures::*field, bool isHighest)
{
    double value = 0;
    auto isFirst = true;
    for (const auto &policyResult : result.policies) {
        if (!isBaseline(policyResult.policy)) {
            continue;
        }
        auto median = policyResult.quartiles(field).median;
        value = isFirst ? median : (isHighest ? std::max(value, median) : std::min(value, median));
        isFirst = false;
    }
    return value;
}

}

std::vector<TargetResult> evaluateTargets(const CaseResult &result)
{
    std::vector<TargetResult> targetResults;
    const auto *own = result.findPolicy(ownPolicy);
    if (result.load < minimumLoad || own == nullptr) {
        return targetResults;
    }
    const std::vector<Target> targets = { { "preemptions <= 1/5", &Measures::preemptions, 1.0 / 5 },
                                          { "stall time <= 1/3", &Measures::stallSeconds, 1.0 / 3 },
                                          { "gap p99 <= 1/2", &Measures::gapP99, 1.0 / 2 } };
    for (const auto &target : targets) {
        auto value = own->quartiles(target.field).median;
        auto reference = findBestBaseline(result, target.field, false);
        auto bound = reference * target.factor;
        targetResults.push_back({ target.name, value, reference, bound, value <= bound });
    }
    auto goodput = own->quartiles(&Measures::goodput).median;
    auto reference = findBestBaseline(result, &Measures::goodput, true);
    targetResults.push_back({ "goodput not lower", goodput, reference, reference, goodput >= reference });
    if (!result.reference.runs.empty()) {
        for (auto [name, field] : { std::pair("domain out >= 95 %", &Measures::goodWhileOut), std::pair("domain back >= 95 %", &Measures::goodOnReturn) }) {
            auto value = own->quartiles(field).median;
            auto allowed = result.reference.quartiles(field).median;
            targetResults.push_back({ name, value, allowed, allowed * minimumDrainShare, value >= allowed * minimumDrainShare });
        }
    }
    return targetResults;
}

}
