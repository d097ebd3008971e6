#include <LibForward/SocketChannel.h>

#include <LibHttp/ClientSession.h>
#include <LibHttp/Listener.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace Lovageward {

namespace {

/** TCP_USER_TIMEOUT: breaks a connection to a host that lost power or is partitioned and therefore acknowledges nothing. */
constexpr Duration unacknowledgedLimit = seconds(4);

/** A socket whose receive buffer is bounded: by default the kernel lets it grow to several megabytes while the upstream sends faster than its caller reads. */
Poco::Net::StreamSocket openUnconnected()
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    // The size has to be known before the handshake, which announces it.
    socket.setReceiveBufferSize(static_cast<int>(defaultReceiveBufferBytes));
    return socket;
}

/** Whole milliseconds for poll(), rounded up so that a wait never ends before its deadline. */
int pollTimeout(Duration remaining)
{
    if (remaining <= Duration(0)) {
        return 0;
    }
    constexpr std::int64_t maximumMilliseconds = 60'000;
    return static_cast<int>(std::min<std::int64_t>(std::chrono::ceil<milliseconds>(remaining).count(), maximumMilliseconds));
}

/** True for errors of a non-blocking call that say nothing of the connection. */
bool isTransientError(int number)
{
    return number == EAGAIN || number == EWOULDBLOCK || number == EINTR;
}

/** Removes `count` bytes and then empty parts from the front of the message. Returns true if bytes are left. */
bool removeWritten(msghdr &message, std::size_t count)
{
    while (message.msg_iovlen > 0 && count >= message.msg_iov->iov_len) {
        count -= message.msg_iov->iov_len;
        ++message.msg_iov;
        --message.msg_iovlen;
    }
    if (message.msg_iovlen == 0) {
        return false;
    }
    message.msg_iov->iov_base = static_cast<char *>(message.msg_iov->iov_base) + count;
    message.msg_iov->iov_len -= count;
    return true;
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
    auto socket = openUnconnected();
    socket.connect(Poco::Net::SocketAddress(address), toTimespan(std::max(deadline - clock.now(), Duration(milliseconds(1)))));
    return { clock, socket };
}

SocketChannel::ReceiveResult SocketChannel::receive(std::size_t maximumBytes)
{
    std::array<char, receiveBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): recv fills what is used.
    auto count = ::recv(this->descriptor(), bytes.data(), std::min(maximumBytes, bytes.size()), MSG_DONTWAIT);
    if (count > 0) {
        this->receiveBuffer.append(bytes.data(), static_cast<std::size_t>(count));
        return ReceiveResult::Data;
    }
    if (count < 0 && isTransientError(errno)) {
        return ReceiveResult::WouldBlock;
    }
    // The kernel reports an error to one call only, and an end of the bytes to the calls after it. An end may also hide the pending error of a reset that
    // followed it.
    this->recordError(count < 0 ? errno : this->socket.impl()->socketError());
    return this->connectionError ? ReceiveResult::Failed : ReceiveResult::Closed;
}

void SocketChannel::recordError(int number)
{
    if (!this->connectionError) {
        this->connectionError = std::error_code(number, std::system_category());
    }
}

bool SocketChannel::writeParts(std::initializer_list<std::string_view> parts, TimePoint deadline)
{
    std::array<iovec, maximumParts> remainingParts {};
    std::size_t partCount = 0;
    for (auto part : parts) {
        // The kernel only reads the bytes, but iovec is also used for reading into them.
        remainingParts.at(partCount++) = iovec { const_cast<char *>(part.data()), part.size() }; // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    msghdr message {};
    message.msg_iov = remainingParts.data();
    message.msg_iovlen = partCount;
    while (removeWritten(message, 0)) {
        auto count = ::sendmsg(this->descriptor(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            removeWritten(message, static_cast<std::size_t>(count));
            continue;
        }
        if (count < 0 && !isTransientError(errno)) {
            this->recordError(errno);
            return false;
        }
        auto remaining = deadline - this->clock.now();
        if (remaining <= Duration(0)) {
            return false;
        }
        pollfd pollDescriptor { this->descriptor(), POLLOUT, 0 };
        ::poll(&pollDescriptor, 1, pollTimeout(remaining));
    }
    return true;
}

bool SocketChannel::hasHungUp() const
{
    pollfd pollDescriptor { this->descriptor(), POLLRDHUP, 0 };
    return ::poll(&pollDescriptor, 1, 0) > 0;
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

std::size_t DescriptorPoller::add(WatchedDescriptor descriptor)
{
    this->descriptors.push_back(descriptor);
    this->readable.push_back(false);
    return this->descriptors.size() - 1;
}

bool DescriptorPoller::wait(const Clock &clock, TimePoint deadline)
{
    std::vector<pollfd> pollDescriptors;
    pollDescriptors.reserve(this->descriptors.size());
    for (const auto &descriptor : this->descriptors) {
        auto events = descriptor.isForHangUpOnly ? POLLRDHUP : POLLIN;
        pollDescriptors.push_back(pollfd { descriptor.number, static_cast<short>(events), 0 });
    }
    while (true) {
        auto remaining = deadline - clock.now();
        auto readyCount = ::poll(pollDescriptors.data(), pollDescriptors.size(), pollTimeout(remaining));
        if (readyCount > 0) {
            for (std::size_t index = 0; index < pollDescriptors.size(); ++index) {
                this->readable[index] = pollDescriptors[index].revents != 0;
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
