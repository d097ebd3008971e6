#include <LibForward/SocketChannel.h>

#include <LibHttp/ClientSession.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace Lovageward {

namespace {

/** Bytes that one receive can take; a stream's events and most answers fit. */
constexpr std::size_t receiveBytes = 16384;

/** Time after which unacknowledged bytes break a connection, because a host without power or behind a partition answers nothing. */
constexpr Duration unacknowledgedLimit = seconds(4);

/** Whole milliseconds for poll(), rounded up so that a wait never ends before its deadline. */
int pollTimeout(Duration left)
{
    if (left <= Duration(0)) {
        return 0;
    }
    constexpr std::int64_t longest = 60'000;
    return static_cast<int>(std::min<std::int64_t>(std::chrono::ceil<milliseconds>(left).count(), longest));
}

}

SocketChannel::SocketChannel(const Clock &clock, const Poco::Net::StreamSocket &connected) : clock(clock), socket(connected)
{
    this->socket.setBlocking(false);
    this->socket.setNoDelay(true);
    this->socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<milliseconds>(unacknowledgedLimit).count()));
}

SocketChannel SocketChannel::connect(const Clock &clock, const std::string &address, TimePoint deadline)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), toTimespan(std::max(deadline - clock.now(), Duration(milliseconds(1)))));
    return { clock, socket };
}

SocketChannel::Received SocketChannel::receive()
{
    std::array<char, receiveBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): recv fills what is used.
    auto count = ::recv(this->descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->received.append(bytes.data(), static_cast<std::size_t>(count));
        return Received::Data;
    }
    if (count == 0) {
        return Received::End;
    }
    auto isNothing = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return isNothing ? Received::Nothing : Received::Reset;
}

bool SocketChannel::write(std::string_view bytes, TimePoint deadline)
{
    while (!bytes.empty()) {
        auto count = ::send(this->descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return false;
        }
        auto left = deadline - this->clock.now();
        if (left <= Duration(0)) {
            return false;
        }
        pollfd waiting { this->descriptor(), POLLOUT, 0 };
        ::poll(&waiting, 1, pollTimeout(left));
    }
    return true;
}

void SocketChannel::close()
{
    this->socket.close();
}

void SocketChannel::abort()
{
    if (this->descriptor() == POCO_INVALID_SOCKET) {
        return;
    }
    this->socket.setLinger(true, 0);
    this->socket.close();
}

std::size_t ChannelWaiter::add(int descriptor)
{
    this->descriptors.push_back(descriptor);
    this->readable.push_back(false);
    return this->descriptors.size() - 1;
}

bool ChannelWaiter::wait(const Clock &clock, TimePoint deadline)
{
    std::vector<pollfd> waiting;
    waiting.reserve(this->descriptors.size());
    for (auto descriptor : this->descriptors) {
        waiting.push_back(pollfd { descriptor, POLLIN, 0 });
    }
    while (true) {
        auto left = deadline - clock.now();
        auto found = ::poll(waiting.data(), waiting.size(), pollTimeout(left));
        if (found > 0) {
            for (std::size_t position = 0; position < waiting.size(); ++position) {
                this->readable[position] = waiting[position].revents != 0;
            }
            return true;
        }
        if (clock.now() >= deadline) {
            std::fill(this->readable.begin(), this->readable.end(), false);
            return false;
        }
    }
}

}
