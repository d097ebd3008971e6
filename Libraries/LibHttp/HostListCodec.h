#pragma once

#include <LibMembership/HostList.h>

#include <string>
#include <vector>

namespace Lovageward {

/** Parses the platform's host list (docs/design.md, section 7). Throws Error(MalformedJson) if it isn't a list of hosts. */
std::vector<ListedHost> parseHostList(const std::string &json);

}
