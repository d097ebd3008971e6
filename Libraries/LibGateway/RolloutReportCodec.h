#pragma once

#include <LibGateway/RolloutReport.h>
#include <LibPeer/MessageReader.h>
#include <LibPeer/MessageWriter.h>

#include <vector>

namespace Lovageward {

/** Appends the reports to a digest. */
void writeRolloutReports(MessageWriter &writer, const std::vector<RolloutReport> &reports);

/** Throws Error(MalformedMessage). */
std::vector<RolloutReport> readRolloutReports(MessageReader &reader);

}
