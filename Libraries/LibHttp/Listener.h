#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** Receive buffer of a connection in bytes; fits a request head of the largest size, and the first flight of a request with an ordinary prompt. */
inline constexpr std::size_t defaultReceiveBufferBytes = 16'384;

/** Receive buffer of a connection on which a large body arrives, in bytes. */
inline constexpr std::size_t bodyReceiveBufferBytes = 65'536;

/** Largest number of bytes that the kernel holds unread for a receive buffer of the given size: it doubles the size for its own overhead (socket(7)). */
constexpr std::uint64_t unreadByteLimit(std::size_t receiveBufferBytes)
{
    return 2 * static_cast<std::uint64_t>(receiveBufferBytes);
}

/** Largest number of bytes that the kernel holds unread for each connection of the default receive buffer. */
inline constexpr std::uint64_t defaultUnreadBytes = unreadByteLimit(defaultReceiveBufferBytes);

/**
 * Listens on "IP:port". Accepted connections inherit the receive buffer of the default size: by default the kernel lets the buffer of each connection grow to
 * several megabytes, which count as memory of this process. Throws Error(InvalidSettings) if the address can't be bound.
 */
Poco::Net::ServerSocket openListener(const std::string &address, int backlog);

/** IP address of the peer; empty if the connection is already closed. */
std::string peerAddress(const Poco::Net::StreamSocket &socket);

}
