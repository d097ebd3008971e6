#pragma once

#include <LibCore/MemoryAccount.h>

#include <atomic>

namespace Lovageward {

/**
 * What a caller's connection is doing. Two threads change it: the connection's own, which serves requests, and one that needs the connection's place or
 * memory. It is made for bursts, in which the next request arrives while the connection is being chosen: only one of the two changes takes effect.
 */
class ConnectionPhase
{
public:
    /** A byte of the next request has been received. Returns false if the connection was released before: the request must not be forwarded. */
    bool beginReceiving();

    /** The whole request has been received. Returns false if the connection was released before: the request must not be forwarded. */
    bool beginServing();

    /** The response is complete, and the peer has to take it. Only for connections whose response may be cut. */
    void beginSending();

    /** The response has been sent. Returns false if the connection was released before. */
    bool endServing();

    /** Releases a connection that waits for what `wait` says. Returns false if it waits no longer, and then keeps its place until it waits again. */
    bool release(ClientWait wait);

    bool isReleased() const
    {
        return this->phase == Phase::Released;
    }

private:
    enum class Phase {
        /** No byte of the next request has been received. */
        Idle,
        Receiving,
        /** From the whole request to the end of its response, or to beginSending(). */
        Serving,
        Sending,
        /** The connection ends; no further request is taken from it. */
        Released,
    };

    bool change(Phase from, Phase to);

    std::atomic<Phase> phase = Phase::Idle;
};

}
