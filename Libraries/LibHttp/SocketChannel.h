#pragma once

#include <LibCore/Clock.h>
#include <LibHttp/ByteChannel.h>

#include <Poco/Net/StreamSocket.h>

namespace Lovageward {

/** ByteChannel over a TCP socket. */
class SocketChannel final : public ByteChannel
{
public:
    SocketChannel(const Clock &clock, const Poco::Net::StreamSocket &connected);

    std::optional<std::size_t> receive(char *buffer, std::size_t size, TimePoint deadline) override;
    bool send(std::string_view bytes, TimePoint deadline) override;
    bool isClosedByPeer() override;
    bool isReadable() override;

private:
    /** Waits until the socket is ready for the poll events. Returns false when the deadline passed. */
    bool waitFor(short events, TimePoint deadline);

    const Clock &clock;
    Poco::Net::StreamSocket socket;
};

}
