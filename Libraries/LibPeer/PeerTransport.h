#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace Lovageward {

/** "tcp://IP:port" of a node's peer socket. */
using PeerAddress = TextId<struct PeerAddressTag>;

/** Kind of a message between nodes (docs/design.md, section 5). The numbers are part of the wire format. */
enum class PeerMessageKind : std::uint8_t {
    Probe = 1,
    IndirectProbe = 2,
    ConfigPull = 3,
    LoadDigest = 4,
    CreditRequest = 5,
    CreditReturn = 6,
    ClaimRequest = 7,
    ClaimResult = 8,
    StreamTakeOver = 9,
};

/** A message between nodes. The payload is the msgpack encoding of the struct that belongs to the kind. */
struct PeerMessage
{
    PeerMessageKind kind;
    HostId sender;
    std::string payload;
};

/** Sends messages to other nodes. Safe to call from several threads. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /**
     * Sends a message and waits for its answer until the deadline.
     * Throws Error(PeerUnreachable) if the message was certainly not delivered and Error(PeerTimeout) if it may have been.
     */
    virtual std::string request(const PeerAddress &address, const PeerMessage &message, TimePoint deadline) = 0;
};

/** Answers the messages of one or more kinds. Called from several threads at a time. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /** Returns the msgpack encoding of the answer. An Error is logged and leaves the sender without an answer. */
    virtual std::string handle(const PeerMessage &message) = 0;
};

}
