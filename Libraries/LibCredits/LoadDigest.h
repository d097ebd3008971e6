#pragma once

#include <LibPolicy/UpstreamState.h>

#include <string>
#include <string_view>
#include <vector>

namespace Lovageward {

/** Load of one upstream as its owner tells it to the nodes that use it. */
struct LoadDigestEntry
{
    UpstreamId upstream;
    LoadReport report;
};

/** Content of a LoadDigest message. */
struct LoadDigest
{
    /** Random number of the sender's process, since its clock means nothing across restarts of its host. */
    std::uint64_t senderRun = 0;
    /** Time at which the message was encoded, by the sender's monotonic clock. */
    TimePoint sentAt;
    std::vector<LoadDigestEntry> entries;
};

/** Greatest number of entries in one message. */
inline constexpr std::size_t maximumDigestEntries = 500;

/** Boot id of 8 hexadecimal digits that stands for a longer one, so that an entry takes about 30 bytes. Stable. */
BootId shortBootId(const BootId &bootId);

/** Encodes each report with its age at sentAt instead of its time, because clocks differ between nodes. */
std::string encodeLoadDigest(const LoadDigest &digest);

/** The times of the reports are relative to sentAt, the sender's clock. Throws Error(MalformedMessage). */
LoadDigest decodeLoadDigest(std::string_view encoded);

}
