#include "PlainReading.h"

#include <cstdlib>

namespace Lovageward {

namespace {

const std::string tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

bool hasControlCharacter(const std::string &text)
{
    for (char character : text) {
        auto code = static_cast<unsigned char>(character);
        if ((code < 32 && code != 9) || code == 127) {
            return true;
        }
    }
    return false;
}

/** Removes the first line, without its end, from the bytes. */
std::optional<std::string> takeLine(std::string &bytes)
{
    auto end = bytes.find("\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto line = bytes.substr(0, end);
    bytes.erase(0, end + 2);
    return hasControlCharacter(line) ? std::nullopt : std::optional(line);
}

}

std::optional<PlainMessage> readPlainly(const std::string &bytes)
{
    PlainMessage message;
    message.rest = bytes;
    auto first = takeLine(message.rest);
    if (!first) {
        return std::nullopt;
    }
    auto firstSpace = first->find(' ');
    auto secondSpace = first->find(' ', firstSpace + 1);
    if (firstSpace == std::string::npos || secondSpace == std::string::npos) {
        return std::nullopt;
    }
    message.firstLine = { first->substr(0, firstSpace), first->substr(firstSpace + 1, secondSpace - firstSpace - 1), first->substr(secondSpace + 1) };
    while (true) {
        auto line = takeLine(message.rest);
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            return message;
        }
        auto colon = line->find(':');
        auto name = line->substr(0, colon);
        if (colon == std::string::npos || name.empty() || name.find_first_not_of(tokenCharacters) != std::string::npos) {
            return std::nullopt;
        }
        auto begin = line->find_first_not_of(" \t", colon + 1);
        auto end = line->find_last_not_of(" \t");
        message.fields.emplace_back(name, begin == std::string::npos ? std::string() : line->substr(begin, end - begin + 1));
    }
}

std::optional<std::pair<std::string, std::string>> readChunksPlainly(const std::string &bytes)
{
    auto rest = bytes;
    std::string body;
    while (true) {
        auto line = takeLine(rest);
        auto digits = line ? line->find_first_not_of("0123456789abcdefABCDEF") : 0;
        if (!line || line->empty() || digits == 0) {
            return std::nullopt;
        }
        constexpr int hexadecimal = 16;
        auto size = std::strtoull(line->substr(0, digits).c_str(), nullptr, hexadecimal);
        if (size == 0) {
            break;
        }
        if (size > rest.size() || rest.compare(size, 2, "\r\n") != 0) {
            return std::nullopt;
        }
        body += rest.substr(0, size);
        rest.erase(0, size + 2);
    }
    for (auto trailer = takeLine(rest); trailer; trailer = takeLine(rest)) {
        if (trailer->empty()) {
            return std::pair(body, rest);
        }
    }
    return std::nullopt;
}

}
