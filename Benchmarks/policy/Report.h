#pragma once

#include <policy/Campaign.h>

#include <string>
#include <vector>

namespace Lovageward::Bench {

/** Report as text tables: median and quartiles of every policy per case, then the targets. */
std::string formatTextReport(const std::vector<CaseResult> &results);

/** Report with the same contents as JSON. */
std::string formatJsonReport(const std::vector<CaseResult> &results);

}
