#pragma once

#include <policy/Campaign.h>

#include <filesystem>
#include <vector>

namespace Lovageward::Bench {

/** Writes one SVG per measure into the directory: a panel per deployment and disturbance, a line per policy over the load. */
void writePlots(const std::vector<CaseResult> &results, const std::filesystem::path &directory);

}
