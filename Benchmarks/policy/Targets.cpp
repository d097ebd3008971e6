#include <policy/Targets.h>

#include <algorithm>

namespace Lovageward::Bench {

namespace {

constexpr double lowestLoad = 0.895;
constexpr double drainShare = 0.95;

struct Target
{
    const char *name;
    double Measures::*field;
    double factor;
};

double best(const CaseResult &result, double Measures::*field, bool isHighest)
{
    double value = 0;
    auto isFirst = true;
    for (const auto &row : result.rows) {
        if (!isBaseline(row.policy)) {
            continue;
        }
        auto median = row.spread(field).median;
        value = isFirst ? median : (isHighest ? std::max(value, median) : std::min(value, median));
        isFirst = false;
    }
    return value;
}

}

std::vector<Verdict> judge(const CaseResult &result)
{
    std::vector<Verdict> verdicts;
    const auto *own = result.row(ownPolicy);
    if (result.load < lowestLoad || own == nullptr) {
        return verdicts;
    }
    const std::vector<Target> targets = { { "preemptions <= 1/5", &Measures::preemptions, 1.0 / 5 },
                                          { "stall time <= 1/3", &Measures::stallSeconds, 1.0 / 3 },
                                          { "gap p99 <= 1/2", &Measures::gapP99, 1.0 / 2 } };
    for (const auto &target : targets) {
        auto value = own->spread(target.field).median;
        auto reference = best(result, target.field, false);
        auto bound = reference * target.factor;
        verdicts.push_back({ target.name, value, reference, bound, value <= bound });
    }
    auto goodput = own->spread(&Measures::goodput).median;
    auto reference = best(result, &Measures::goodput, true);
    verdicts.push_back({ "goodput not lower", goodput, reference, reference, goodput >= reference });
    if (!result.reference.runs.empty()) {
        for (auto [name, field] : { std::pair("domain out >= 95 %", &Measures::goodWhileOut), std::pair("domain back >= 95 %", &Measures::goodOnReturn) }) {
            auto value = own->spread(field).median;
            auto allowed = result.reference.spread(field).median;
            verdicts.push_back({ name, value, allowed, allowed * drainShare, value >= allowed * drainShare });
        }
    }
    return verdicts;
}

}
