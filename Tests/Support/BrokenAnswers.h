#pragma once

#include <fmt/format.h>

#include <string>
#include <vector>

namespace Lovageward {

/** Bytes that an upstream sends before it resets the connection, and that no client may take for a whole answer. */
struct BrokenAnswer
{
    std::string name;
    std::string bytes;
};

/** Broken forms of the answer that consists of a status line with 200, the header field lines and the body. */
inline std::vector<BrokenAnswer> brokenAnswers(const std::string &fields, const std::string &body)
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    auto rest = fmt::format("{}Content-Length: {}\r\n\r\n{}", fields, body.size(), body);
    auto part = body.substr(0, body.size() / 2);
    return {
        { "whole body without length", statusLine + fields + "\r\n" + body },
        { "part of the body without length", statusLine + fields + "\r\n" + part },
        { "part of the body, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + part },
        { "no body", statusLine + fields + "Connection: close\r\n\r\n" },
        { "status 000", "HTTP/1.1 000 Status\r\n" + rest },
        { "interim status 000", "HTTP/1.1 000 Status\r\n\r\n" + statusLine + rest },
        { "space in a name", statusLine + "Field Name: value\r\n" + rest },
        { "control byte in a name", statusLine + "Field\x01Name: value\r\n" + rest },
        { "control byte in the name of a length", statusLine + "Content\x01-Length: 1\r\n" + rest },
        { "space after the name of a length", statusLine + "Content-Length : 1\r\n" + rest },
    };
}

}
