#pragma once

#include <string>

namespace Lovageward::Soak {

/**
 * Runs an upstream with the given id, which prints "port N", "run ID" before it works on a request, "continued ID" before it goes on with a run from its
 * memory, and "refused ID" otherwise. Paths: /book and /look answer with the id of their request, /plan and /draft send a stream whose events name the request
 * and the run. Runs until it is killed.
 */
int runUpstreamRole(const std::string &id);

}
