#pragma once

#include <policy/Campaign.h>

#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Result of a target of the policy in one case. */
struct TargetResult
{
    std::string target;
    /** Value of the policy under test. */
    double own = 0;
    /** Value of the best baseline, or for a drained domain of the run without its engines. */
    double reference = 0;
    /** Limit that the policy's value has to meet. */
    double bound = 0;
    bool isReached = false;
};

/** Compares the policy with the best baseline per measure. Empty below 90 % load, where no targets apply. */
std::vector<TargetResult> evaluateTargets(const CaseResult &result);

}
