#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lovageward {

/**
 * A message as a second reader sees it, which shares no code with LibHttp1 and is as simple as the grammar of RFC 9112 allows. What the project writes has to
 * be one message to it, with the same parts.
 */
struct PlainMessage
{
    /** Method, target and version, or version, status and reason phrase. */
    std::vector<std::string> firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    /** What follows the empty line. */
    std::string rest;
};

/** Returns nothing for bytes that don't begin with the head of a message. */
std::optional<PlainMessage> readPlainly(const std::string &bytes);

/** Joins the chunks of a body and returns it with what follows it, or nothing for bytes that don't begin with a whole body in chunks. */
std::optional<std::pair<std::string, std::string>> readChunksPlainly(const std::string &bytes);

}
