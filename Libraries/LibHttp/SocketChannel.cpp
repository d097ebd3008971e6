#include <LibHttp/SocketChannel.h>

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Lovageward {

namespace {

// The clock is injected and may differ from the kernel's, so a wait is split and the deadline is checked between the parts.
constexpr Duration longestWait = milliseconds(200);

int pollOnce(int descriptor, short events, int timeout)
{
    pollfd entry { descriptor, events, 0 };
    return ::poll(&entry, 1, timeout);
}

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}

SocketChannel::SocketChannel(const Clock &clock, const Poco::Net::StreamSocket &connected) : clock(clock), socket(connected)
{
    // Tokens are small writes that must not wait for an acknowledgement.
    this->socket.setNoDelay(true);
}

bool SocketChannel::waitFor(short events, TimePoint deadline)
{
    while (true) {
        auto remaining = std::min(deadline - this->clock.now(), longestWait);
        auto timeout = std::chrono::ceil<milliseconds>(std::max(remaining, Duration(0)));
        if (pollOnce(this->socket.impl()->sockfd(), events, static_cast<int>(timeout.count())) > 0) {
            return true;
        }
        if (this->clock.now() >= deadline) {
            return false;
        }
    }
}

// The sockets' own calls are used for transfers, because POCO's receive and send report a would-block only by exceptions or platform-dependent
// return values, and its poll() creates an epoll instance for each call.
std::optional<std::size_t> SocketChannel::receive(char *buffer, std::size_t size, TimePoint deadline)
{
    while (true) {
        auto count = ::recv(this->socket.impl()->sockfd(), buffer, size, MSG_DONTWAIT);
        if (count >= 0) {
            return static_cast<std::size_t>(count);
        }
        if (!wouldBlock(errno)) {
            return 0;
        }
        if (!this->waitFor(POLLIN, deadline)) {
            return std::nullopt;
        }
    }
}

bool SocketChannel::send(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        auto count = ::send(this->socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (!wouldBlock(errno) || !this->waitFor(POLLOUT, deadline)) {
            return false;
        }
    }
    return true;
}

bool SocketChannel::isClosedByPeer()
{
    char byte = 0;
    auto count = ::recv(this->socket.impl()->sockfd(), &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return count == 0 || (count < 0 && !wouldBlock(errno));
}

bool SocketChannel::isReadable()
{
    return pollOnce(this->socket.impl()->sockfd(), POLLIN, 0) > 0;
}

}
