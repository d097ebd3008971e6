#pragma once

#include <policy/Campaign.h>

#include <filesystem>
#include <vector>

namespace Lovageward::Bench {

/** Writes an SVG file per measure into the directory, with a panel per deployment and disturbance and a line per policy over the load. */
void writePlots(const std::vector<CaseResult> &results, const std::filesystem::path &directory);

}
