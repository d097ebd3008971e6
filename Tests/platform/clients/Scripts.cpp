#include "Scripts.h"

#include <fmt/format.h>

namespace Lovageward::Clients {

std::shared_ptr<const std::string> plainBody(std::size_t bytes)
{
    return std::make_shared<const std::string>(bytes, 'b');
}

std::shared_ptr<const std::string> chunkedBody(std::size_t bytes)
{
    constexpr std::size_t chunkBytes = 65'536;
    std::string text;
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        text += fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'c'));
    }
    return std::make_shared<const std::string>(text + "0\r\n\r\n");
}

ClientScript lengthScript(std::size_t withheldBytes, std::size_t bytesPerWrite)
{
    return { requestHead("length", false, 0, fmt::format("Content-Length: {}\r\n", largestBody)), plainBody(largestBody), 1, withheldBytes, bytesPerWrite };
}

ClientScript chunkedScript(std::size_t withheldBytes)
{
    constexpr std::size_t pieceBytes = 16'384;
    return { requestHead("chunked", false, 0, "Transfer-Encoding: chunked\r\n"), chunkedBody(largestBody), 1, withheldBytes, pieceBytes };
}

ClientScript endlessHeadScript()
{
    constexpr std::size_t headBytes = 16'000;
    return { "POST /look HTTP/1.1\r\nHost: clients.example\r\nX-Padding: ", plainBody(headBytes), 1, 0, 1 };
}

ClientScript pipelinedScript()
{
    // The head stays within the default limit of 16,384 bytes.
    constexpr std::size_t paddingBytes = 7'500;
    constexpr std::size_t requests = 400;
    auto padding = fmt::format("X-Padding: {0}\r\nX-Padding: {0}\r\nContent-Length: 0\r\n", std::string(paddingBytes, 'p'));
    return { requestHead("pipelined", true, 0, padding), nullptr, requests };
}

ClientScript unreadScript(bool isStream)
{
    constexpr std::size_t responseBytes = 250'000;
    constexpr std::size_t eventBytes = 8'000;
    constexpr std::size_t requests = 20;
    return { requestHead("unread", isStream, isStream ? eventBytes : responseBytes, "Content-Length: 0\r\n"), nullptr, requests };
}

}
