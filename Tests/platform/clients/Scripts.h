#pragma once

#include "Crowd.h"

namespace Lovageward::Clients {

/** Largest body that a gateway accepts by default. */
inline constexpr std::size_t largestBody = 4'194'304;

std::shared_ptr<const std::string> plainBody(std::size_t bytes);

/** A chunked body of the given size before encoding. */
std::shared_ptr<const std::string> chunkedBody(std::size_t bytes);

/** A request with the largest body, of which the last bytes are withheld. */
ClientScript lengthScript(std::size_t withheldBytes, std::size_t bytesPerWrite = 0);

/** The same in chunks, sent in pieces. */
ClientScript chunkedScript(std::size_t withheldBytes);

/** A head within its limit whose empty line is never sent, a byte at a time after the first line. */
ClientScript endlessHeadScript();

/** Streams requested one after another without waiting for responses, each with a head near the limit. */
ClientScript pipelinedScript();

/** Requests one after another whose responses, or streams, are long. */
ClientScript unreadScript(bool isStream);

}
