#pragma once

#include <LibCore/Counters.h>
#include <LibPeer/PeerTransport.h>

#include <array>
#include <cstddef>

namespace Lovageward {

enum class PeerDirection {
    Sent,
    Received,
};

/** Counts messages and bytes between nodes per kind and direction. Answers count under the kind of their request. */
class PeerTraffic
{
public:
    explicit PeerTraffic(Counters &counters);

    void count(PeerDirection direction, PeerMessageKind kind, std::size_t bytes);

private:
    static constexpr std::size_t kinds = static_cast<std::size_t>(PeerMessageKind::StreamTakeOver) + 1;

    struct Series
    {
        Counter *messages = nullptr;
        Counter *bytes = nullptr;
    };

    std::array<std::array<Series, kinds>, 2> series;
};

}
