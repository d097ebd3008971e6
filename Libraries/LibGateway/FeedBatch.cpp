#include <LibGateway/FeedBatch.h>

namespace Lovageward {

std::vector<FeedBatch> splitBatch(const FeedBatch &batch, std::size_t maximumBytes)
{
    std::vector<FeedBatch> batches;
    FeedBatch current { batch.topic, batch.firstOffset, { {}, batch.firstOffset, batch.page.era } };
    std::size_t usedBytes = 0;
    for (const auto &record : batch.page.records) {
        auto size = record.key.size() + record.value.size();
        if (size > maximumBytes) {
            // The batch covers the offsets up to this record.
            current.page.nextOffset = record.offset;
            batches.push_back(std::move(current));
            return batches;
        }
        if (usedBytes + size > maximumBytes) {
            current.page.nextOffset = record.offset;
            batches.push_back(std::move(current));
            current = FeedBatch { batch.topic, record.offset, { {}, record.offset, batch.page.era } };
            usedBytes = 0;
        }
        usedBytes += size;
        current.page.records.push_back(record);
    }
    current.page.nextOffset = batch.page.nextOffset;
    batches.push_back(std::move(current));
    return batches;
}

}
