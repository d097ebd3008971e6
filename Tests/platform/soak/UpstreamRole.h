#pragma once

#include <string>

namespace Lovageward::Soak {

/**
 * Serves a stand-in of an upstream with the given id. It prints "port N" at its start and a line per request: "run ID" before it runs the request, "continued
 * ID" before it continues a run from its copied memory, and "refused ID" if it refuses the request. /book and /look respond with the id of the request, /plan
 * and /draft with a stream whose events contain the ids of the request and of the run. A target with
 * `?bytes=N` asks for N bytes more in the body or in each event. With a `rateLimit`, in requests per second, its responses state it for
 * some time, and it prints "limited N" and "unlimited". Runs until the process is killed.
 */
int runUpstreamRole(const std::string &id, double rateLimit);

}
