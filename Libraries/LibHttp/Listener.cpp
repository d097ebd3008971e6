#include <LibHttp/Listener.h>

#include <LibCore/Error.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace Lovageward {

Poco::Net::ServerSocket openListener(const std::string &address, int backlog)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        // The size has to be known before the first handshake, which announces it.
        socket.setReceiveBufferSize(static_cast<int>(defaultReceiveBufferBytes));
        socket.listen(backlog);
        return socket;
    } catch (const Poco::Exception &error) {
        throw Error(ResultCode::InvalidSettings, RunState::NotRun, "can't listen on " + address + ": " + error.displayText());
    }
}

std::string peerAddress(const Poco::Net::StreamSocket &socket)
{
    try {
        return socket.peerAddress().host().toString();
    } catch (const Poco::Exception &) {
        return {};
    }
}

}
