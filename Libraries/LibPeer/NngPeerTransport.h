#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Logger.h>
#include <LibPeer/PeerRouter.h>
#include <LibPeer/PeerTransport.h>

#include <cstddef>
#include <memory>

namespace Lovageward {

struct NngPeerTransportOptions
{
    /** Threads that answer messages. Must exceed the sum of the bounds of handlers that wait for I/O. */
    std::size_t workers = 16;
    /** Connections to other nodes that are kept open; the least recently used one is closed first. */
    std::size_t maximumConnections = 64;
    /** Time within which an answer must leave, so that a silent peer doesn't keep a worker. */
    Duration answerSendTimeout = seconds(1);
};

/**
 * PeerTransport over nng req/rep contexts on TCP. Every peer has a connection of its own, so a silent peer delays no other.
 * A connection whose request failed is dropped at once: the next request to that peer opens a new one, because a TCP
 * connection may stay silent for ever although new ones work. Requests are never sent twice by the transport. Sockets are closed by a thread of
 * their own (DelayedCloser), because nng can block in a close; no requesting thread does.
 * Lock order: the mutex guards the connections only and is held for no I/O.
 */
class NngPeerTransport final : public PeerTransport
{
public:
    NngPeerTransport(const Clock &clock, LogSink &sink, PeerRouter &router, const NngPeerTransportOptions &options = {});
    ~NngPeerTransport() override;

    /**
     * Starts to answer messages at "tcp://IP:port" and returns the bound address, which differs for port 0.
     * Throws Error(InvalidSettings) if the address can't be used. Call it at most once.
     */
    PeerAddress listen(const PeerAddress &address);

    /** Stops answering, waits for running handlers and closes all connections within a bounded time. Also done by the destructor. */
    void stop();

    std::string request(const PeerAddress &address, const PeerMessage &message, TimePoint deadline) override;

    /** Cached connections to other nodes. */
    std::size_t connectionCount() const;

private:
    class Connection;
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

}
