#include <LibCore/Error.h>
#include <LibPeer/MessageWriter.h>
#include <LibPeer/PeerEnvelope.h>

namespace Lovageward {

namespace {

constexpr auto greatestKind = static_cast<std::uint64_t>(PeerMessageKind::StreamTakeOver);
constexpr std::size_t envelopeValues = 3;
// Leaves room for values that later versions append.
constexpr std::size_t maximumEnvelopeValues = 16;

}

std::string encodePeerMessage(const PeerMessage &message)
{
    MessageWriter writer;
    writer.array(envelopeValues).number(static_cast<std::uint64_t>(message.kind)).text(message.sender.value()).bytes(message.payload);
    auto encoded = writer.encoded();
    if (encoded.size() > maximumPeerMessageBytes) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, "message between nodes is too long to send");
    }
    return encoded;
}

PeerMessage decodePeerMessage(std::string_view encoded)
{
    MessageReader reader(encoded);
    reader.beginArray(envelopeValues, maximumEnvelopeValues);
    auto kind = reader.number(greatestKind);
    if (kind == 0) {
        throw Error(ResultCode::MalformedMessage, RunState::NotRun, "malformed message: kind 0");
    }
    PeerMessage message { static_cast<PeerMessageKind>(kind), HostId(reader.text()), reader.bytes(maximumPeerMessageBytes) };
    reader.endArray();
    return message;
}

std::string_view peerMessageKindName(PeerMessageKind kind)
{
    switch (kind) {
    case PeerMessageKind::Probe:
        return "Probe";
    case PeerMessageKind::IndirectProbe:
        return "IndirectProbe";
    case PeerMessageKind::ConfigPull:
        return "ConfigPull";
    case PeerMessageKind::LoadDigest:
        return "LoadDigest";
    case PeerMessageKind::CreditRequest:
        return "CreditRequest";
    case PeerMessageKind::CreditReturn:
        return "CreditReturn";
    case PeerMessageKind::ClaimRequest:
        return "ClaimRequest";
    case PeerMessageKind::ClaimResult:
        return "ClaimResult";
    case PeerMessageKind::StreamTakeOver:
        return "StreamTakeOver";
    }
    return "unknown";
}

}
