#pragma once

#include <LibHttp/AdministrationJson.h>
#include <lovagewardctl/TextTable.h>

#include <string>

namespace Lovageward {

/** Table of the entities in the answer of a collection: id, version and the fields of the value. */
std::string entityTable(const JsonObject &json);

/** Table of one order's progress, or of a list of them. */
std::string orderTable(const JsonObject &json);

std::string auditTable(const JsonObject &json);

/** State of the node, members and pools. */
std::string statusText(const JsonObject &json);

/** One line, for example "accepted, in force on 7 of 8 nodes; behind: surat-3". */
std::string progressText(const JsonObject &json);

}
