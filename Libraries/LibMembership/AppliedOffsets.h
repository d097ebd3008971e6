#pragma once

#include <LibCore/Ids.h>
#include <LibMembership/MemberEntry.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lovageward {

/** Hash over the host ids of all members; equal hashes mean that the bits of AppliedOffsets have the same order. */
std::uint64_t viewHashOf(const std::map<HostId, MemberEntry> &entries);

/** What this node knows about the offsets that members have applied: at the newest offset and, if it differs, at the median. */
std::vector<AppliedOffsets> summarizeOffsets(const std::map<HostId, MemberEntry> &entries, std::uint64_t viewHash);

/** Raises the offsets of the members that another node knows to have applied them. Ignored if the view hash differs. */
void mergeOffsets(std::map<HostId, MemberEntry> &entries, std::uint64_t viewHash, const AppliedOffsets &applied);

}
