#pragma once

#include <LibCore/ManualClock.h>
#include <LibHttp/ByteChannel.h>

#include <algorithm>
#include <deque>
#include <string>

namespace Lovageward {

/** Delivers pieces of bytes, each after a pause; then the peer closes, or stays silent if `staysOpen`. */
class ScriptedChannel final : public ByteChannel
{
public:
    struct Piece
    {
        Duration pause = Duration(0);
        std::string bytes;
    };

    ScriptedChannel(ManualClock &clock, std::deque<Piece> pieces, bool staysOpen = false) : clock(clock), pieces(std::move(pieces)), staysOpen(staysOpen)
    {
    }

    std::optional<std::size_t> receive(char *buffer, std::size_t size, TimePoint deadline) override
    {
        if (this->pieces.empty() && !this->staysOpen) {
            return 0;
        }
        auto remaining = std::max(deadline - this->clock.now(), Duration(0));
        if (this->pieces.empty() || this->pieces.front().pause > remaining) {
            this->clock.advance(remaining);
            if (!this->pieces.empty()) {
                this->pieces.front().pause -= remaining;
            }
            return std::nullopt;
        }
        auto &piece = this->pieces.front();
        this->clock.advance(piece.pause);
        piece.pause = Duration(0);
        auto count = std::min(size, piece.bytes.size());
        std::copy_n(piece.bytes.begin(), count, buffer);
        piece.bytes.erase(0, count);
        if (piece.bytes.empty()) {
            this->pieces.pop_front();
        }
        return count;
    }

    bool send(std::string_view /*bytes*/, TimePoint /*deadline*/) override
    {
        return true;
    }

    bool isClosedByPeer() override
    {
        return this->pieces.empty() && !this->staysOpen;
    }

    bool isReadable() override
    {
        return !this->staysOpen;
    }

private:
    ManualClock &clock;
    std::deque<Piece> pieces;
    bool staysOpen;
};

}
