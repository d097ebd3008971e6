#pragma once

#include <LibHttp1/MessageHead.h>

#include <string>

namespace Lovageward {

/** Encodes a head of HTTP/1.1 with its empty line. No other code of the project writes heads. */
std::string encodeHead(const RequestHead &head);

/** As above. Throws Error(Internal) for a status that isn't from 100 to 599. */
std::string encodeHead(const ResponseHead &head);

}
