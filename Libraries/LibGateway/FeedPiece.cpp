#include <LibGateway/FeedPiece.h>

namespace Lovageward {

std::vector<FeedPiece> cutToSize(const FeedPiece &piece, std::size_t maximumBytes)
{
    std::vector<FeedPiece> pieces;
    FeedPiece current { piece.topic, piece.firstOffset, { {}, piece.firstOffset } };
    std::size_t used = 0;
    for (const auto &record : piece.page.records) {
        auto size = record.key.size() + record.value.size();
        if (size > maximumBytes) {
            // Nothing between the last record and this one is missing.
            current.page.nextOffset = record.offset;
            pieces.push_back(std::move(current));
            return pieces;
        }
        if (used + size > maximumBytes) {
            current.page.nextOffset = record.offset;
            pieces.push_back(std::move(current));
            current = FeedPiece { piece.topic, record.offset, {} };
            used = 0;
        }
        used += size;
        current.page.records.push_back(record);
    }
    current.page.nextOffset = piece.page.nextOffset;
    pieces.push_back(std::move(current));
    return pieces;
}

}
