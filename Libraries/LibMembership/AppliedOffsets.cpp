#include <LibMembership/AppliedOffsets.h>

#include <xxhash.h>

#include <algorithm>

namespace Lovageward {

namespace {

AppliedOffsets summaryAt(const std::map<HostId, MemberEntry> &entries, std::uint64_t viewHash, Offset offset)
{
    AppliedOffsets applied { viewHash, offset, {} };
    std::size_t position = 0;
    for (const auto &[host, entry] : entries) {
        if (entry.member.configOffset >= offset) {
            applied.add(position);
        }
        ++position;
    }
    return applied;
}

}

std::uint64_t viewHashOf(const std::map<HostId, MemberEntry> &entries)
{
    std::string hosts;
    for (const auto &[host, entry] : entries) {
        hosts += host.value();
        hosts += '\n';
    }
    return XXH64(hosts.data(), hosts.size(), 0);
}

std::vector<AppliedOffsets> summarizeOffsets(const std::map<HostId, MemberEntry> &entries, std::uint64_t viewHash)
{
    std::vector<Offset> offsets;
    for (const auto &[host, entry] : entries) {
        if (entry.isLive()) {
            offsets.push_back(entry.member.configOffset);
        }
    }
    std::vector<AppliedOffsets> summaries;
    if (offsets.empty()) {
        return summaries;
    }
    std::sort(offsets.begin(), offsets.end());
    summaries.push_back(summaryAt(entries, viewHash, offsets.back()));
    // While changes follow each other quickly, few members have the newest offset, so the one that half of them have is told too.
    auto median = offsets[offsets.size() / 2];
    if (median != offsets.back()) {
        summaries.push_back(summaryAt(entries, viewHash, median));
    }
    return summaries;
}

void mergeOffsets(std::map<HostId, MemberEntry> &entries, std::uint64_t viewHash, const AppliedOffsets &applied)
{
    if (applied.viewHash != viewHash) {
        return;
    }
    std::size_t position = 0;
    for (auto &[host, entry] : entries) {
        if (applied.contains(position)) {
            entry.member.configOffset = std::max(entry.member.configOffset, applied.offset);
        }
        ++position;
    }
}

}
