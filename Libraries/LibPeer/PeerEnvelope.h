#pragma once

#include <LibPeer/MessageReader.h>
#include <LibPeer/PeerTransport.h>

#include <string>
#include <string_view>

namespace Lovageward {

/** Encodes `[kind, sender, payload]`. Throws Error(MalformedMessage) if the result exceeds maximumPeerMessageBytes. */
std::string encodePeerMessage(const PeerMessage &message);

/** Throws Error(MalformedMessage) for any bytes that encodePeerMessage doesn't produce, except for values appended to the array. */
PeerMessage decodePeerMessage(std::string_view encoded);

/** Name of a kind for metrics and logs, for example "Probe". */
std::string_view peerMessageKindName(PeerMessageKind kind);

}
