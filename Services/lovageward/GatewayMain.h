#pragma once

#include <string>
#include <vector>

namespace Lovageward {

/**
 * Runs a gateway until it is told to stop, and returns the exit status. Reads the file that LOVAGEWARD_CONFIG names, which may change at any
 * time. Throws Error(InvalidSettings).
 */
int runGateway(const std::vector<std::string> &arguments, bool isCheckOnly);

}
