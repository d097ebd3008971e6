#include <LibConfig/CheckpointAge.h>

#include <algorithm>

namespace Lovageward {

void CheckpointAge::noteRecord(Offset offset, LogTime appendedAt, bool isChange)
{
    this->records.push_back(NotedRecord { offset, appendedAt, isChange });
}

void CheckpointAge::noteCheckpoint(Offset asOf)
{
    while (!this->records.empty() && this->records.front().offset <= asOf) {
        this->records.pop_front();
    }
}

std::size_t CheckpointAge::changeCount() const
{
    auto isChange = [](const NotedRecord &record) { return record.isChange; };
    return static_cast<std::size_t>(std::count_if(this->records.begin(), this->records.end(), isChange));
}

std::optional<LogTime> CheckpointAge::oldestNeeded() const
{
    return this->records.empty() ? std::nullopt : std::optional<LogTime>(this->records.front().appendedAt);
}

}
