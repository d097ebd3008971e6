#pragma once

#include <LibHttp1/MessageHead.h>

#include <optional>
#include <string>
#include <string_view>

namespace Lovageward {

/** Removes a complete message head, including its empty line, from the front of the received bytes. Returns nothing if the head is incomplete. */
std::optional<std::string> extractHead(std::string &received);

/** Decodes a request head with its empty line. Field values are kept byte for byte. Throws Error(BadRequest) for bytes that aren't one (RFC 9112). */
RequestHead decodeRequestHead(std::string_view head);

/** Decodes a response head with its empty line. Throws Error(AnswerMismatch) for bytes that aren't one, or whose status isn't from 100 to 599 or is 101. */
ResponseHead decodeResponseHead(std::string_view head);

}
