#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Lovageward {

/**
 * The number of runs at each upstream that this node knows of, its own and those that peers have reported, over the last few seconds. A report of an
 * upstream describes the past, so it is compared with the number that was known then. Load pattern: reports that arrive after this node has placed
 * further runs at the same upstream. Not thread-safe.
 */
class KnownRunHistory
{
public:
    /** Records that the number of known runs has changed by `change`. Times don't decrease. */
    void add(std::uint64_t upstreamHash, std::int64_t change, TimePoint now);

    /** Number of known runs at that time; the oldest recorded number if it is longer ago than the history. */
    std::int64_t runsAt(std::uint64_t upstreamHash, TimePoint time) const;

private:
    struct Entry
    {
        TimePoint time;
        std::int64_t runs = 0;
    };

    using Entries = std::vector<Entry>;

    void removeExpired(TimePoint now);

    std::unordered_map<std::uint64_t, Entries> histories;
    TimePoint removalDueAt;
};

}
