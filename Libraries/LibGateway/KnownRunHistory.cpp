#include <LibGateway/KnownRunHistory.h>

#include <algorithm>

namespace Lovageward {

namespace {

/** Longer than any report of an upstream is used. */
constexpr Duration retention = seconds(6);

/** Limit of the entries of one upstream. Beyond it the oldest are removed, which are those least likely to be needed. */
constexpr std::size_t maximumEntries = 128;

}

void KnownRunHistory::add(std::uint64_t upstreamHash, std::int64_t change, TimePoint now)
{
    if (change == 0) {
        return;
    }
    this->removeExpired(now);
    auto &entries = this->histories[upstreamHash];
    if (entries.empty()) {
        entries.push_back(Entry {});
    }
    entries.push_back(Entry { now, entries.back().runs + change });
    // The last entry before the retention time is kept, because it is the number at that time.
    auto isSuperseded = [&](std::size_t position) { return position + 1 < entries.size() && entries[position + 1].time + retention < now; };
    std::size_t superseded = entries.size() > maximumEntries ? entries.size() - maximumEntries : 0;
    while (isSuperseded(superseded)) {
        ++superseded;
    }
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(superseded));
}

std::int64_t KnownRunHistory::runsAt(std::uint64_t upstreamHash, TimePoint time) const
{
    auto found = this->histories.find(upstreamHash);
    if (found == this->histories.end()) {
        return 0;
    }
    const auto &entries = found->second;
    auto later = std::upper_bound(entries.begin(), entries.end(), time, [](TimePoint limit, const Entry &entry) { return limit < entry.time; });
    return later == entries.begin() ? entries.front().runs : std::prev(later)->runs;
}

void KnownRunHistory::removeExpired(TimePoint now)
{
    if (now < this->removalDueAt) {
        return;
    }
    this->removalDueAt = now + retention;
    std::erase_if(this->histories, [&](const auto &history) { return history.second.back().runs == 0 && history.second.back().time + retention < now; });
}

}
