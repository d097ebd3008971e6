#pragma once

#include <LibCore/Clock.h>

#include <Poco/Net/StreamSocket.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Lovageward {

/** Non-blocking TCP connection with a receive buffer. No call blocks beyond its deadline, however slowly the peer sends or reads. */
class SocketChannel
{
public:
    /** Largest number of bytes of one receive; fits the events of a stream and most unary responses. */
    static constexpr std::size_t receiveBytes = 16384;

    enum class ReceiveResult {
        Data,
        /** No bytes are available. */
        WouldBlock,
        /** The peer closed its side of the connection, and no error has occurred on it: all bytes that the peer sent have been received. */
        Closed,
        /** The connection failed, in this call or an earlier one; see error(). Bytes that the peer sent may be missing. */
        Failed,
    };

    /** Takes a connected socket and makes it non-blocking. */
    SocketChannel(const Clock &clock, const Poco::Net::StreamSocket &socket);

    /** Connects to "IP:port". Throws Poco::Exception if that fails or the deadline passes. */
    static SocketChannel connect(const Clock &clock, const std::string &address, TimePoint deadline);

    /** Appends available bytes, at most `maximumBytes`, to the buffer. Bytes that arrived before a failure are still returned as data. Doesn't block. */
    ReceiveResult receive(std::size_t maximumBytes = receiveBytes);

    /** True if the peer has closed the connection or reset it. Bytes that weren't received hide a close until they have been received. Doesn't block. */
    bool hasHungUp() const;

    /** Writes all bytes. Returns false if the connection failed or the deadline passed; only a failure sets error(). */
    bool write(std::string_view bytes, TimePoint deadline)
    {
        return this->writeParts({ bytes }, deadline);
    }

    /** Writes several parts, one after another, without joining them in memory: each may be large. Returns false as above. */
    static constexpr std::size_t maximumParts = 4;
    bool writeParts(std::initializer_list<std::string_view> parts, TimePoint deadline);

    /**
     * Error upon which the connection failed, none if it hasn't: the peer reset it (ECONNRESET, or EPIPE if the peer had closed its side before), or took no
     * bytes for too long (ETIMEDOUT).
     */
    const std::error_code &error() const
    {
        return this->connectionError;
    }

    /** Received bytes that weren't consumed yet. The reader erases what it consumes. */
    std::string &buffer()
    {
        return this->receiveBuffer;
    }

    const std::string &buffer() const
    {
        return this->receiveBuffer;
    }

    int descriptor() const
    {
        return this->socket.impl()->sockfd();
    }

    /** Closes the connection; bytes already written are still delivered. */
    void close();

    /** Resets the connection, which the peer notices at once even while it sends. Does nothing on a closed connection. */
    void abort();

private:
    void recordError(int number);

    const Clock &clock;
    Poco::Net::StreamSocket socket;
    std::string receiveBuffer;
    std::error_code connectionError;
};

/** A descriptor to wait for. */
struct WatchedDescriptor
{
    // Implicit, since most descriptors are watched for bytes.
    WatchedDescriptor(int number, bool isForHangUpOnly = false) // NOLINT(google-explicit-constructor)
        : number(number), isForHangUpOnly(isForHangUpOnly)
    {
    }

    int number;
    /** Readable only when the peer has closed or reset the connection, for a connection from which no bytes are taken at present. */
    bool isForHangUpOnly;
};

/** Waits until one of several descriptors is readable. */
class DescriptorPoller
{
public:
    /** Returns the index of the descriptor for isReadable(). Negative descriptors are ignored and never readable. */
    std::size_t add(WatchedDescriptor descriptor);

    /** Waits until a descriptor is readable, closed or failed, or the deadline passes. Returns false if the deadline passed. */
    bool wait(const Clock &clock, TimePoint deadline);

    bool isReadable(std::size_t index) const
    {
        return this->readable[index];
    }

private:
    std::vector<WatchedDescriptor> descriptors;
    std::vector<bool> readable;
};

}
