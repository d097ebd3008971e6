#pragma once

#include <string>
#include <vector>

namespace Lovageward {

/**
 * Runs a gateway until SIGTERM or SIGINT arrives and then ends the process. With `isCheckOnly`, only checks the settings and returns the exit
 * status. The environment variable LOVAGEWARD_CONFIG names the settings file, which may change at any time. Throws Error(InvalidSettings).
 */
int runGateway(const std::vector<std::string> &arguments, bool isCheckOnly);

}
