#include <LibPeer/PeerEnvelope.h>
#include <LibPeer/PeerTraffic.h>

#include <fmt/format.h>

namespace Lovageward {

PeerTraffic::PeerTraffic(Counters &counters)
{
    for (auto direction : { PeerDirection::Sent, PeerDirection::Received }) {
        auto directionName = direction == PeerDirection::Sent ? "sent" : "received";
        for (std::size_t kind = 1; kind < kinds; ++kind) {
            auto labels = fmt::format("{{direction=\"{}\",kind=\"{}\"}}", directionName, peerMessageKindName(static_cast<PeerMessageKind>(kind)));
            auto &slot = this->series.at(static_cast<std::size_t>(direction)).at(kind);
            slot.messages = &counters.counter("lovageward_peer_messages_total" + labels);
            slot.bytes = &counters.counter("lovageward_peer_bytes_total" + labels);
        }
    }
}

void PeerTraffic::count(PeerDirection direction, PeerMessageKind kind, std::size_t bytes)
{
    auto &slot = this->series.at(static_cast<std::size_t>(direction)).at(static_cast<std::size_t>(kind));
    slot.messages->add();
    slot.bytes->add(static_cast<std::int64_t>(bytes));
}

}
