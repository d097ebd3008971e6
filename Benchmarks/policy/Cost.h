#pragma once

#include <string>

namespace Lovageward::Bench {

/** Measures the time of a decision and the memory per upstream and per pair of class and team, for several numbers of upstreams. */
std::string measureCosts();

}
